"""The committed headroom: the capacity that every controller keeps free in each zone, and the jobs that may use it."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from cloverplank.basic_types import Zone
from cloverplank.records.headroom import HeadroomRecord, HeadroomReserve
from cloverplank.scheduling.capacity import CapacityIndex
from cloverplank.wire.users import JobSpec

PLACEHOLDER_ID = "headroom"  # no job has this id


class CommittedHeadroom(Struct, frozen=True):
    """The headroom of one zone, the same in each of them.

    `classes`: the job classes that it is kept for. `placeholders`: jobs as large as the capacity to keep free.
    `exempt_jobs`: jobs of other classes that may use it.
    """

    classes: frozenset[str] = frozenset()
    placeholders: tuple[JobSpec, ...] = ()
    exempt_jobs: frozenset[str] = frozenset()

    def min_cpus(self) -> float:
        """Return the cpus of the smallest task that capacity is kept for, infinity without headroom."""
        return min((spec.cpus for spec in self.placeholders), default=float("inf"))

    def may_use(self, spec: JobSpec) -> bool:
        """Return whether a job may use the headroom. All others leave it free, whatever their place in the queue."""
        return spec.job_class in self.classes or spec.id in self.exempt_jobs

    def reserve(self, capacity_index: CapacityIndex, zones: Iterable[Zone]) -> None:
        """Subtract the headroom of each of the zones from the index."""
        for zone in zones:
            capacity_index.reserve(self.placeholders, zone)


NO_HEADROOM = CommittedHeadroom()


def committed_headroom(record: HeadroomRecord) -> CommittedHeadroom:
    """Return the headroom that a record states."""
    placeholders = tuple(_placeholder(reserve) for reserve in record.reserves)
    return CommittedHeadroom(frozenset(record.classes), placeholders, frozenset(record.exempt_jobs))


def _placeholder(reserve: HeadroomReserve) -> JobSpec:
    return JobSpec(
        id=PLACEHOLDER_ID,
        job_class=reserve.job_class,
        team="",
        shape=reserve.shape,
        rank="prod",
        tasks=reserve.tasks,
        cpus=reserve.cpus,
        gpus=reserve.gpus,
        memory_gb=reserve.memory_gb,
        image=reserve.image,
        image_gb=0.0,
        one_zone=False,
        spread=False,
        spot=reserve.spot,
        estimate_s=0.0,
        checkpoint_s=0.0,
        save_s=0.0,
    )


def headroom_record(
    classes: Iterable[str], placeholders: Iterable[JobSpec], exempt_jobs: Iterable[str] = ()
) -> HeadroomRecord:
    """Return the record that states a headroom."""
    reserves = [
        HeadroomReserve(
            job_class=spec.job_class,
            image=spec.image,
            shape=spec.shape,
            spot=spec.spot,
            cpus=spec.cpus,
            gpus=spec.gpus,
            memory_gb=spec.memory_gb,
            tasks=spec.tasks,
        )
        for spec in placeholders
    ]
    return HeadroomRecord(sorted(classes), reserves, list(exempt_jobs))
