"""Names of the keys in the store. All keys share one prefix, so that a single watch covers them."""

from __future__ import annotations

ROOT = "cp/"
LEADER = "cp/leader"
TYPES = "cp/types"
NODES = "cp/node/"
SHARDS = "cp/block/"
JOBS = "cp/job/"
FINALS = "cp/fin/"
PROVISIONING = "cp/hire/"
DRAINS = "cp/ret/"
BLOCKED = "cp/wait/"  # jobs that wait for their upstream jobs; versions without job dependencies don't read this prefix
FORMAT = "cp/format"  # the cluster version as announced to programs that don't read ROLLOUT
ROLLOUT = "cp/rollout"
ZONES = "cp/zone/"
VERDICTS = "cp/verdict/"
HEADROOM = "cp/headroom"  # versions without a common headroom don't read this key


def node(node_id: str) -> str:
    """Return the key of a controller."""
    return NODES + node_id


def shard(zone: str) -> str:
    """Return the key of a zone's shard."""
    return SHARDS + zone.replace(" ", "_")


def verdict(node_id: str) -> str:
    """Return the key of the verdict on a controller."""
    return VERDICTS + node_id


def zone(name: str) -> str:
    """Return the key of a zone's health record."""
    return ZONES + name.replace(" ", "_")


def job(job_id: str) -> str:
    """Return the key of an open job."""
    return JOBS + job_id


def final(job_id: str) -> str:
    """Return the key of a job's final state."""
    return FINALS + job_id


def blocked(job_id: str) -> str:
    """Return the key of a job that waits for its upstream jobs."""
    return BLOCKED + job_id


def job_keys(job_id: str) -> list[str]:
    """Return every key under which a job can be stored, in the order in which it moves between them."""
    return [blocked(job_id), job(job_id), final(job_id)]


def provisioning(name: str) -> str:
    """Return the key of a scale-out request."""
    return PROVISIONING + name


def drain(name: str) -> str:
    """Return the key of a batch of machines that are being scaled in."""
    return DRAINS + name
