"""Property tests of rollouts on a model of a cluster.

Controllers start, stop and are rolled back or excused, the version retreats, and commits arrive late, all in any order.
No running process may read a record in a shape that it does not support, the version may change only as the tables in
`docs/rollout.md` allow, and a rollout must complete if all controllers support it.
"""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from cloverplank.records.rollout import RolloutPhase
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.step_transactions import StepTransactionBuilder
from tests.simulation.rollout_model import ABLE, JOBS, PRODUCTION, Cluster

THOROUGH = settings(max_examples=200, stateful_step_count=25)
MAX_ROUNDS = 30


def test_invariants_hold_for_events_in_any_order() -> None:
    run_state_machine_as_test(Cluster, settings=THOROUGH)


def run_until(cluster: Cluster, version: int, phase: RolloutPhase, isolated: str | None = None) -> None:
    """Run rounds until the version and phase are committed; the watch cache of `isolated` receives no events."""
    for _ in range(MAX_ROUNDS):
        if cluster.history and (cluster._version(), cluster.history[-1].phase) == (version, phase):
            return
        cluster.round(isolated)
    raise AssertionError(f"after {MAX_ROUNDS} rounds: expected {version} {phase.value}, got {cluster.history[-1]}")


def check_invariants(cluster: Cluster) -> None:
    cluster.running_programs_can_read_all_records()
    cluster.version_changes_match_transitions()
    cluster.announced_version_is_committed()


def cluster_with_delayed_activation() -> Cluster:
    """Return a cluster whose leader has sent the transaction of the step to `active`, which is still in flight."""
    cluster = Cluster()
    cluster.begin(0, 1, 0)
    run_until(cluster, 0, RolloutPhase.SOAK)
    cluster.time_passes(90.0)
    cluster.update_watch_cache("c-0")
    cluster.lead("c-0", late=True)
    return cluster


def activated_late_over_a_rolled_back_controller() -> Cluster:
    """The delayed step to `active` reaches the store after a controller was replaced by the program in production."""
    cluster = cluster_with_delayed_activation()
    cluster.stop("c-1")
    cluster.start("c-1", PRODUCTION, 1, frozenset())
    cluster.apply_late_commit(0)
    cluster.update_watch_cache("c-2")
    cluster.write("c-2", JOBS[0], late=False)
    return cluster


def write_by_a_controller_that_missed_the_retreat() -> Cluster:
    """A controller whose watch cache predates the retreat writes a record that it has just read from the store."""
    cluster = Cluster()
    cluster.begin(0, 1, 0)
    run_until(cluster, 1, RolloutPhase.FINALIZED)
    cluster.change_goal(0)
    run_until(cluster, 0, RolloutPhase.FINALIZED, isolated="c-2")
    cluster.stop("c-1")
    cluster.start("c-1", PRODUCTION, 1, frozenset())
    cluster.reload_record("c-2", JOBS[0])
    cluster.write("c-2", JOBS[0], late=False)
    return cluster


def raised_late_after_a_retreat() -> Cluster:
    """A delayed step to `active` reaches the store after the version has been raised and lowered again."""
    cluster = cluster_with_delayed_activation()
    run_until(cluster, 1, RolloutPhase.FINALIZED)
    cluster.change_goal(0)
    run_until(cluster, 0, RolloutPhase.FINALIZED)
    cluster.apply_late_commit(0)
    assert cluster._version() == 0
    return cluster


def two_controllers_that_believe_they_lead() -> Cluster:
    """A former leader that has not noticed the end of its lease decides a step on a stale watch cache."""
    cluster = Cluster()
    cluster.begin(0, 1, 0)
    run_until(cluster, 0, RolloutPhase.SOAK)
    former_leader = cluster.running["c-0"]
    cluster.stop("c-0")
    cluster.start("c-0", ABLE, 1, frozenset())
    cluster.take_leadership("c-1")
    cluster.time_passes(90.0)
    cluster._take_step(former_leader, late=False)
    assert cluster.history[-1].phase is RolloutPhase.SOAK
    cluster.update_watch_cache("c-1")
    cluster.lead("c-1", late=False)
    assert cluster.history[-1].phase is RolloutPhase.PREPARED, (
        "expected the soak to restart: a process has joined again since it began"
    )
    return cluster


def excused_controller_restarts_with_production() -> Cluster:
    """An excused controller that restarts with the program in production can't join, since its key bars it."""
    cluster = Cluster()
    for name in ("c-0", "c-1"):
        cluster.start(name, ABLE, 1, frozenset({"c-2"}))
    cluster.take_leadership("c-0")
    run_until(cluster, 1, RolloutPhase.FINALIZED)
    cluster.start("c-2", PRODUCTION, 1, frozenset())
    assert "c-2" not in cluster.running
    cluster.start("c-2", ABLE, 1, frozenset())
    assert "c-2" in cluster.running
    return cluster


CASES = (
    activated_late_over_a_rolled_back_controller,
    write_by_a_controller_that_missed_the_retreat,
    raised_late_after_a_retreat,
    two_controllers_that_believe_they_lead,
    excused_controller_restarts_with_production,
)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
def test_invariants_hold_in_hard_cases(case) -> None:  # noqa: ANN001
    cluster = case()
    check_invariants(cluster)
    cluster.teardown()


def without_unchanged_keys(build_step):  # noqa: ANN001, ANN201
    return lambda self, leader, step: build_step(self, leader, msgspec.structs.replace(step, unchanged={}))


def test_check_detects_a_step_without_unchanged_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StepTransactionBuilder, "build_step", without_unchanged_keys(StepTransactionBuilder.build_step))
    with pytest.raises(AssertionError):
        check_invariants(activated_late_over_a_rolled_back_controller())


def test_check_detects_a_write_without_the_gate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CommittedRollout, "write_conditions", lambda self, layout_kind: [])
    with pytest.raises(AssertionError):
        check_invariants(write_by_a_controller_that_missed_the_retreat())


def test_check_detects_a_retreat_that_counts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Cluster, "_unconverted_jobs", lambda self, watch_cache, current, since: [])
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Cluster, settings=THOROUGH)
