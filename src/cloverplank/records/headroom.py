"""The stored record of the headroom that the leader and the shard owners keep."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from cloverplank.wire.users import Amount, Name, Shape


class HeadroomReserve(Struct, array_like=True, frozen=True):
    """Tasks of one job class and image for which each zone keeps capacity free; the amounts are those of one task."""

    job_class: Name
    image: Name
    shape: Shape
    spot: bool  # may be kept on spot machines
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    tasks: Annotated[int, Meta(ge=1)]


class HeadroomRecord(Struct, frozen=True):
    """The headroom. It affects only which jobs are placed first; no correctness guarantee depends on it."""

    # job classes whose jobs may use the headroom
    classes: list[str]
    reserves: list[HeadroomReserve] = field(default_factory=list)
    # jobs that may use the headroom, too
    exempt_jobs: list[str] = field(name="exempt", default_factory=list)
