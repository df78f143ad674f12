"""Names of the keys. All lie under one prefix, so that one watch shows them all."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

ROOT = "cp/"
LEADER = "cp/leader"
TYPES = "cp/types"
NODES = "cp/node/"
BLOCKS = "cp/block/"
JOBS = "cp/job/"
FINALS = "cp/fin/"
RENTALS = "cp/hire/"
RETURNS = "cp/ret/"
WAITING = "cp/wait/"  # jobs that wait for others; versions without job chains don't read this prefix
FORMAT = "cp/format"  # the cluster version as announced to programs that don't read ROLLOUT
ROLLOUT = "cp/rollout"
ZONES = "cp/zone/"
VERDICTS = "cp/verdict/"


def node(label: str) -> str:
    return NODES + label


def block(zone: str) -> str:
    return BLOCKS + zone.replace(" ", "_")


def verdict(label: str) -> str:
    return VERDICTS + label


def zone(name: str) -> str:
    return ZONES + name.replace(" ", "_")


def job(job_id: str) -> str:
    return JOBS + job_id


def final(job_id: str) -> str:
    return FINALS + job_id


def waiting(job_id: str) -> str:
    return WAITING + job_id


def all_of(job_id: str) -> list[str]:
    """Every key that a job can be under, in the order in which it moves."""
    return [waiting(job_id), job(job_id), final(job_id)]


def rental(name: str) -> str:
    return RENTALS + name


def returns(name: str) -> str:
    return RETURNS + name


NO_LEASE = 0  # in the place of a lease: nobody is there, and nobody who does not replace the record can join


class NodeRecord(Struct, frozen=True):
    """A live controller. Its key is attached to its lease."""

    zone: str
    lease: int
    format: Annotated[int, Meta(ge=0)] = 0  # the newest cluster version that its process reads; old programs omit it
    lowest: Annotated[int, Meta(ge=0)] | None = None  # the oldest; programs that don't follow rollouts omit it
    goal: Annotated[int, Meta(ge=0)] | None = None  # the cluster version that its operators want; None: switched off

    def is_there(self) -> bool:
        """The record is of a process, not one that keeps others out."""
        return self.lease != NO_LEASE


class LeaderRecord(Struct, frozen=True):
    node: str
    lease: int


class BlockRecord(Struct, frozen=True):
    """A grant. Its key is attached to the holder's lease; its stamp is the token."""

    zone: str
    node: str
    lease: int


class RentalRecord(Struct, frozen=True):
    """A rental, committed before the cloud is called."""

    type: str
    zone: str
    spot: bool
    count: int
    at: int
    machines: list[str] = field(default_factory=list)


class ReturnRecord(Struct, frozen=True):
    """Machines that are given back: `draining` while tasks leave them, with the reason; `gone` once the
    cloud said so."""

    at: int
    draining: dict[str, str] = field(default_factory=dict)
    gone: list[str] = field(default_factory=list)
