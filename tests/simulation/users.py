"""Users of the simulated world, who submit, query and cancel jobs."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from cloverplank.net.messages import NoResponseError, Response

if TYPE_CHECKING:
    from tests.simulation.rules import Rules

REQUEST_TIMEOUT_S = 5.0
RETRY_S = 1.0
MAX_SUBMISSIONS, MAX_CANCELLATIONS = 40, 120  # the maximum number of attempts of a user
RUN_TIME_S = (1.0, 10.0)  # bounds of the random run time of a job's tasks, unless a test sets it
ACCEPTED, REFUSED = (200, 201), (400, 422)


class Users:
    """The part of the world that acts as its users; its state is set up by `World`.

    Attributes:
        durations: the run time in seconds of the tasks by job, or by task if the tasks of a job differ.

    """

    random: Random
    labels: list[str]
    jobs: dict[str, dict]
    durations: dict[str, float]
    rules: Rules

    def now(self) -> float:
        """Return the simulated time in seconds."""
        raise NotImplementedError

    async def send(self, src: str, addr: str, method: str, path: str, body: bytes | None, timeout: float) -> Response:
        """Carry a request and its response."""
        raise NotImplementedError

    def job(self, number: int, **more: Any) -> dict:
        """Create a job with a random run time; `more` sets fields of the protocol."""
        spec = {
            "id": f"run-{number:06d}",
            "lane": "nightly",
            "crew": "red",
            "shape": "batch",
            "rank": "standard",
            "pieces": 4,
            "vcpus": 2.0,
            "gpus": 0.0,
            "ram_gb": 4.0,
            "bundle": "img",
            "image_gb": 0.3,
            "builds": None,
            "yard": None,
            "together": False,
            "apart": False,
            "loaners": True,
            "guess_s": 5.0,
            "marker_s": 0.0,
            "stow_s": 0.0,
            "due_s": None,
        } | more
        self.jobs[spec["id"]] = spec
        self.durations[spec["id"]] = self.random.uniform(*RUN_TIME_S)
        return spec

    async def ask(self, method: str, path: str, body: dict | None = None, label: str | None = None) -> tuple[int, dict]:
        """Send one request to the controller `label` or any; return status and body, 0 and {} without a response."""
        label = label or self.random.choice(self.labels)
        data = None if body is None else msgspec.msgpack.encode(body)
        try:
            response = await self.send("user", f"front:{label}", method, path, data, REQUEST_TIMEOUT_S)
        except NoResponseError:
            return 0, {}
        return response.status, msgspec.msgpack.decode(response.body) if response.body else {}

    async def ask_checked(
        self, job: str, method: str, path: str, body: dict | None = None, label: str | None = None
    ) -> tuple[int, str | None]:
        """Send one request about a job and check the response; return its status and the state of the job."""
        before, asked_at = self.rules.final_states.get(job), self.now()
        status, value = await self.ask(method, path, body, label)
        state = value.get("status")
        submitting = path == "/api/jobs"
        self.rules.check_response(job, status, state, before=before, submitting=submitting, asked_at=asked_at)
        return status, state

    async def submit(self, spec: dict) -> bool:
        """Submit a job, with retries until it is accepted or refused; return whether it was accepted."""
        self.rules.submitted.add(spec["id"])
        self.rules.submitted_at.setdefault(spec["id"], self.now())
        for _ in range(MAX_SUBMISSIONS):
            status, _ = await self.ask_checked(spec["id"], "POST", "/api/jobs", spec)
            if status in ACCEPTED:
                return True
            if status in REFUSED:
                return False
            await asyncio.sleep(RETRY_S)
        return False

    async def follow(self, spec: dict, cancel_after: float | None = None) -> str | None:
        """Submit a job and poll it until it ends; cancel it after `cancel_after` seconds; None if it was refused."""
        if not await self.submit(spec):
            return None
        job, started_at = spec["id"], self.now()
        while True:
            if cancel_after is not None and self.now() - started_at > cancel_after:
                self.rules.cancel_asked.add(job)
                status, state = await self.ask_checked(job, "POST", f"/api/jobs/{job}/cancel")
            else:
                status, state = await self.ask_checked(job, "GET", f"/api/jobs/{job}")
            if status == 200 and state in ("done", "cancelled"):
                return state
            await asyncio.sleep(1.0 if cancel_after else 2.5)

    async def cancel_job(self, job: str, label: str | None = None) -> str | None:
        """Cancel a job, with retries until a controller responds; return the state in the response, if any."""
        self.rules.cancel_asked.add(job)
        for _ in range(MAX_CANCELLATIONS):
            status, state = await self.ask_checked(job, "POST", f"/api/jobs/{job}/cancel", label=label)
            if status == 200:
                return state
            await asyncio.sleep(RETRY_S)
        return None
