"""DAG dependencies: verdicts on blocked jobs, cancellation through chains, and inherited priorities."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverplank.basic_types import JobId, ModRevision
from cloverplank.jobs.blocked import BlockedJobs
from cloverplank.jobs.dependencies import (
    ESTIMATE_FACTOR,
    RANKS,
    DependencyVerdict,
    EffectivePriorities,
    UpstreamState,
    dependency_verdict,
    has_cancelled_upstream,
    own_priority,
    upstream_not_in_memory,
)
from cloverplank.jobs.records import BlockedJobRecord, JobRecord
from cloverplank.scheduling.queue import scheduling_order
from cloverplank.wire.users import JobSpec
from tests.jobs.specs import spec

LONG_CHAIN = 3000  # jobs; recursion over so many would end the process


def chain_spec(**fields: object) -> JobSpec:
    """Return the description of a job of standard rank without a deadline."""
    return spec(**({"rank": "standard", "due_s": None} | fields))


def blocked_jobs(*jobs: tuple[str, list[str], dict[str, object]]) -> BlockedJobs:
    """Return blocked jobs, each given as its id, its upstream jobs and the encoded fields of its description."""
    result = BlockedJobs()
    for mod_revision, (name, upstream, fields) in enumerate(jobs, 1):
        record = BlockedJobRecord(chain_spec(id=name, **fields), 1000, upstream)
        result.apply(JobId(name), record, ModRevision(mod_revision))
    return result


@pytest.fixture
def long_chain() -> BlockedJobs:
    return blocked_jobs(*((f"run-{n}", [f"run-{n - 1}"], {}) for n in range(1, LONG_CHAIN)))


@given(st.lists(st.sampled_from(UpstreamState)))
def test_job_is_released_when_all_upstream_jobs_are_done_and_cancelled_with_any_of_them(states: list) -> None:
    verdict = dependency_verdict(states)
    assert (verdict is DependencyVerdict.RELEASE) == (set(states) <= {UpstreamState.DONE})
    assert (verdict is DependencyVerdict.CANCEL) == (UpstreamState.CANCELLED in states)


def only_first_is(state: UpstreamState) -> Callable[[JobId], UpstreamState]:
    return lambda job: state if job == "run-0" else UpstreamState.UNFINISHED


def test_cancellation_reaches_the_end_of_a_long_chain(long_chain: BlockedJobs) -> None:
    last = long_chain.jobs[JobId(f"run-{LONG_CHAIN - 1}")]
    assert has_cancelled_upstream(last, long_chain, only_first_is(UpstreamState.CANCELLED))
    assert not has_cancelled_upstream(last, long_chain, only_first_is(UpstreamState.UNFINISHED))


def test_priority_is_inherited_through_a_long_chain(long_chain: BlockedJobs) -> None:
    first = JobRecord(chain_spec(id="run-0", rank="idle"), 1000)
    assert EffectivePriorities(long_chain).of(first).rank == RANKS["standard"]


def test_upstream_jobs_that_are_not_in_memory_are_found_at_any_depth() -> None:
    jobs = blocked_jobs(("run-2", ["run-1"], {}), ("run-3", ["run-2", "run-9"], {}))

    def state_of(job: JobId) -> UpstreamState:
        return UpstreamState.NOT_IN_MEMORY if job in ("run-1", "run-9") else UpstreamState.UNFINISHED

    assert sorted(upstream_not_in_memory(jobs.jobs[JobId("run-3")], jobs, state_of)) == ["run-1", "run-9"]


def test_first_job_of_a_chain_inherits_rank_and_due_time_of_the_last() -> None:
    """The last job is due at 1000 ms + 100 s, minus its own 10 s and the 20 s of the job before it."""
    jobs = blocked_jobs(
        ("run-2", ["run-1"], {"rank": "idle", "guess_s": 20.0}),
        ("run-3", ["run-2"], {"rank": "urgent", "guess_s": 10.0, "due_s": 100.0}),
    )
    first = JobRecord(chain_spec(id="run-1", rank="idle", guess_s=5.0), 1000)
    assert own_priority(first).due_at is None
    effective_priority = EffectivePriorities(jobs).of(first)
    assert effective_priority.rank == RANKS["urgent"]
    assert effective_priority.due_at == 1000 + 100_000 - 1000 * ESTIMATE_FACTOR * 30.0


def test_inherited_priority_ends_with_the_dependent() -> None:
    jobs = blocked_jobs(
        ("run-2", ["run-1"], {"rank": "idle"}), ("run-3", ["run-2"], {"rank": "urgent", "due_s": 100.0})
    )
    effective_priorities = EffectivePriorities(jobs)
    first = JobRecord(chain_spec(id="run-1", rank="idle"), 1000)
    assert effective_priorities.of(first).rank == RANKS["urgent"]
    jobs.remove(JobId("run-3"), ModRevision(99))
    assert effective_priorities.of(first).rank == RANKS["idle"]
    assert effective_priorities.of(first).due_at is None


def test_job_with_urgent_dependents_precedes_jobs_of_higher_own_rank() -> None:
    jobs = blocked_jobs(("run-2", ["run-1"], {"rank": "urgent"}))
    first = JobRecord(chain_spec(id="run-1", rank="idle"), 2000)
    other = JobRecord(chain_spec(id="run-5", rank="standard"), 1000)
    inherited = scheduling_order([other, first], {}, priority_of=EffectivePriorities(jobs).of)
    assert [queued.record.id for queued in inherited] == ["run-1", "run-5"]
    assert [queued.record.id for queued in scheduling_order([other, first], {})] == ["run-5", "run-1"]


def test_change_of_an_upstream_job_queues_its_direct_dependents_once() -> None:
    jobs = blocked_jobs(("run-2", ["run-1"], {}), ("run-3", ["run-1", "run-2"], {}), ("run-4", ["run-3"], {}))
    assert jobs.take_changed() == ["run-2", "run-3", "run-4"]
    jobs.upstream_changed(JobId("run-1"))
    jobs.upstream_changed(JobId("run-1"))
    assert jobs.take_changed() == ["run-2", "run-3"]


def test_removed_job_is_not_queued() -> None:
    jobs = blocked_jobs(("run-2", ["run-1"], {}), ("run-3", ["run-1", "run-2"], {}))
    jobs.take_changed()
    jobs.remove(JobId("run-3"), ModRevision(50))
    jobs.upstream_changed(JobId("run-1"))
    assert jobs.take_changed() == ["run-2"]
    assert not jobs.dependents(JobId("run-2"))


def test_listeners_are_called_for_each_queued_job() -> None:
    jobs = blocked_jobs(("run-2", ["run-1"], {}), ("run-3", ["run-1"], {}))
    calls: list[None] = []
    jobs.subscribe(lambda: calls.append(None))
    jobs.upstream_changed(JobId("run-1"))
    assert len(calls) == 2
