"""Messages between users and controllers. Times are in seconds, amounts of memory in GB."""

from __future__ import annotations

import re
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from cloverplank.wire.codec import MessageDecodeError, all_finite, decode

JOBS_PATH = "/api/jobs"  # served by controllers
MAX_TASKS = 100_000
JOB_ID = re.compile(r"run-[0-9]{1,32}\Z")

Amount = Annotated[float, Meta(ge=0, le=1e12)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Shape = Literal["batch", "service", "ensemble"]
Rank = Literal["prod", "urgent", "standard", "idle"]


class JobSpec(Struct, frozen=True):
    """A job as its user submits it to a controller, without its upstream jobs.

    The amounts are those of one task. `one_zone` keeps all tasks in one zone, `spread` at most half of them in any.
    `checkpoint_s` is the checkpoint interval, 0 without checkpoints, and `save_s` the time that a task needs to save.
    """

    id: str
    job_class: Name = field(name="lane")
    team: Name = field(name="crew")
    shape: Shape
    rank: Rank
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = field(name="pieces")
    cpus: Amount = field(name="vcpus")
    gpus: Amount
    memory_gb: Amount = field(name="ram_gb")
    image: Name = field(name="bundle")
    image_gb: Amount
    one_zone: bool = field(name="together")
    spread: bool = field(name="apart")
    spot: bool = field(name="loaners")
    estimate_s: Amount = field(name="guess_s")
    checkpoint_s: Amount = field(name="marker_s")
    save_s: Amount = field(name="stow_s")
    types: list[Name] | None = field(name="builds", default=None)
    zone: Name | None = field(name="yard", default=None)
    deadline_s: Amount | None = field(name="due_s", default=None)

    @property
    def service(self) -> bool:
        """Return whether the job's tasks are replicas that run until the job is cancelled."""
        return self.shape == "service"

    @property
    def gang(self) -> bool:
        """Return whether the job's tasks run all at the same time or not at all."""
        return self.shape == "ensemble"


class Submission(Struct, frozen=True):
    """A user's POST to a controller: a job, and the ids of its upstream jobs, which must be done before it starts."""

    spec: JobSpec
    upstream: list[str]


class _Upstream(Struct):
    """The part of a submission that names upstream jobs."""

    upstream: list[str] | None = field(name="waits_on", default=None)


class JobResponse(Struct, omit_defaults=True):
    """A controller's response to a user about a job; `done` and `running` count its tasks."""

    id: str
    status: str
    done: int | None = None
    running: int | None = None


class ErrorResponse(Struct):
    """A controller's response to a refused request of any client: the reason in a few words."""

    error: str


def valid_job_id(job_id: str) -> bool:
    """Return whether the text has the form of a job id."""
    return JOB_ID.match(job_id) is not None


def decode_submission(data: bytes) -> Submission:
    """Decode a user's submission. Raises MessageDecodeError where a field is missing or invalid."""
    spec = decode(data, JobSpec)
    upstream = decode(data, _Upstream).upstream or []
    if not all(valid_job_id(job) for job in upstream):
        raise MessageDecodeError("waits_on: not the id of a job")
    if not valid_job_id(spec.id):
        raise MessageDecodeError("invalid id")
    if not all_finite(
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image_gb,
        spec.estimate_s,
        spec.checkpoint_s,
        spec.save_s,
        spec.deadline_s,
    ):
        raise MessageDecodeError("a number is not finite")
    if spec.cpus == 0 and spec.gpus == 0 and spec.memory_gb == 0:
        raise MessageDecodeError("a task takes nothing of its machine")
    return Submission(spec, upstream)
