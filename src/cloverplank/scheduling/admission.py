"""Admission control: whether a job can ever run, judged by the quotas, machine types and zones alone."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from cloverplank.jobs.records import zone_cap
from cloverplank.scheduling.capacity import EPSILON, tasks_that_fit
from cloverplank.scheduling.quotas import Quota
from cloverplank.wire.cloud import MachineType
from cloverplank.wire.users import JobSpec


def rejection_reason(
    spec: JobSpec, limits: Mapping[str, Quota], types: Iterable[MachineType], zones: Collection[str]
) -> str:
    """Return the reason why a job can never run, or an empty string if it can. `limits`: the teams' quotas.

    Tasks of an array run independently of each other; all tasks of a service or a gang run at the same time.
    """
    quota = limits.get(spec.team)
    if quota is None:
        return "unknown team"
    if spec.zone is not None and spec.zone not in zones:
        return "unknown zone"
    usable_zones = _usable_zones(spec, types, zones)
    if not usable_zones:
        return "a task fits no allowed machine type"
    concurrent_tasks = spec.tasks if spec.service or spec.gang else 1
    if spec.cpus * concurrent_tasks > quota.cpus + EPSILON or spec.gpus * concurrent_tasks > quota.gpus + EPSILON:
        return "more than the team's limit"
    zone_count = 1 if spec.one_zone or spec.gang else len(usable_zones)
    if concurrent_tasks > zone_cap(spec) * zone_count:
        return "no split over zones is allowed that holds all its tasks"
    return ""


def _usable_zones(spec: JobSpec, types: Iterable[MachineType], zones: Collection[str]) -> list[str]:
    """Return the zones that offer a machine type on which a task fits."""
    fitting_types = [
        machine_type
        for machine_type in types
        if (spec.types is None or machine_type.name in spec.types)
        and tasks_that_fit(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb) > 0
    ]
    return [
        zone
        for zone in zones
        if spec.zone in (None, zone)
        and any(not machine_type.zones or zone in machine_type.zones for machine_type in fitting_types)
    ]
