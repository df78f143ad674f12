"""Stored records of machines that are being provisioned or drained."""

from __future__ import annotations

from msgspec import Struct, field


class ProvisioningRecord(Struct, frozen=True):
    """A scale-out request, committed before the request is sent to the cloud."""

    type: str
    zone: str
    spot: bool
    count: int
    requested_at: int = field(name="at")  # time of day, ms
    machines: list[str] = field(default_factory=list)


class DrainRecord(Struct, frozen=True):
    """A batch of machines that are being scaled in."""

    updated_at: int = field(name="at")  # time of day, ms
    draining: dict[str, str] = field(default_factory=dict)  # machine -> reason, until its tasks have left it
    terminated: list[str] = field(name="gone", default_factory=list)  # termination confirmed by the cloud
