"""A stateful model of a cluster during a rollout, with invariants that must hold after every commit.

The watch caches of processes lag behind, and commits are applied in any order and at any time. Only the rollout itself
runs; the rest of a controller is not part of the model.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cloverplank.basic_types import Clock, ModRevision, NodeId
from cloverplank.feature_gates import NEWEST_VERSION, OLDEST_VERSION
from cloverplank.jobs.layout import CompactRecord, decode_stored, layout_kind_of, to_stored
from cloverplank.jobs.layout_kind import LayoutKind
from cloverplank.jobs.records import JobRecord, Run
from cloverplank.jobs.store import JobStore
from cloverplank.kvstore import keys
from cloverplank.kvstore.watch_cache import WatchCache
from cloverplank.records.cluster import NO_LEASE, LeaderRecord, NodeRecord
from cloverplank.records.rollout import RolloutPhase, RolloutRecord
from cloverplank.rollout import state_machine
from cloverplank.rollout.committed import CommittedRollout
from cloverplank.rollout.driver import directives_from
from cloverplank.rollout.fence import CommittedVersionFence
from cloverplank.rollout.observation import collect_facts
from cloverplank.rollout.step_transactions import StepTransactionBuilder, step_limits
from cloverplank.settings.rollout import RolloutSettings
from cloverplank.wire.codec import encode
from cloverplank.wire.kvstore import Compare, Put, Transaction
from tests.jobs.test_records import spec
from tests.simulation.kvstore import KeyValueStore

NAMES = ("c-0", "c-1", "c-2")
JOBS = ("run-000001", "run-000002")
TXN_OPS = 8
# Programs that follow rollouts, programs that read version 1 without following rollouts, and production's version.
ABLE, UNAWARE, PRODUCTION = "able", "unaware", "production"
MAX_PLAIN_BYTES = 1  # so small that every record is written compact where that is allowed
# The change of the version by each allowed change of the phase.
TRANSITIONS = {
    ("finalized", "prepared"): 0,
    ("prepared", "soak"): 0,
    ("soak", "prepared"): 0,
    ("soak", "active"): 1,
    ("active", "finalized"): 0,
    ("prepared", "finalized"): 0,
    ("soak", "finalized"): 0,
    ("active", "retreating"): 0,
    ("finalized", "retreating"): 0,
    ("retreating", "active"): 0,
    ("retreating", "retreating"): 0,
    ("retreating", "finalized"): -1,
}


@dataclass
class Process:
    """A controller process with its program, lease, watch cache, and the operators' settings at its start."""

    name: str
    program: str
    lease: int
    watch_cache: WatchCache
    goal: int
    excused: frozenset[str]
    committed: CommittedRollout = field(init=False)

    def __post_init__(self) -> None:
        self.committed = CommittedRollout(self.watch_cache)


class Cluster(RuleBasedStateMachine):
    """Controllers of several programs, one key-value store, and commits that arrive late.

    `late` holds the transactions in flight, `history` every rollout record that was committed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.state = KeyValueStore(lambda: self.now)
        self.running: dict[str, Process] = {}
        self.late: list[Transaction] = []
        self.history: list[RolloutRecord] = []
        self.gone_for_good: set[str] = set()
        for job in JOBS:
            runs = [Run(f"m-{n:06d}", "a", 1, [n, n]) for n in range(20)]
            self._commit(
                Transaction([Compare(keys.job(job), 0)], [Put(keys.job(job), JobRecord(spec(pieces=20), 1, runs=runs))])
            )

    # -- the key-value store

    def _commit(self, transaction: Transaction) -> bool:
        status, _ = self.state._commit(msgspec.msgpack.decode(encode(transaction)))
        self._record_history()
        return status == 200

    def _record_history(self) -> None:
        found = self.state.items.get(keys.ROLLOUT)
        if found is not None:
            record = msgspec.convert(found[0], RolloutRecord)
            if not self.history or self.history[-1] != record:
                self.history.append(record)

    def _commit_or_delay(self, transaction: Transaction, late: bool) -> None:
        if late:
            self.late.append(transaction)
        else:
            self._commit(transaction)

    def _mod_revision(self, key: str) -> int:
        return self.state.items[key][1] if key in self.state.items else 0

    def _version(self) -> int:
        found = self.state.items.get(keys.ROLLOUT)
        announced = self.state.items.get(keys.FORMAT)
        return found[0]["version"] if found else announced[0]["version"] if announced else 0

    # -- processes

    def _catch_up(self, watch_cache: WatchCache) -> None:
        for event in self.state.log:
            if event["stamp"] <= watch_cache.revision:
                continue
            if "put" in event:
                watch_cache.put(event["put"], msgspec.msgpack.encode(event["value"]), ModRevision(event["stamp"]))
            else:
                watch_cache.delete(event["delete"], ModRevision(event["stamp"]))
        watch_cache.revision = self.state.revision
        watch_cache.loaded = True

    @rule(
        name=st.sampled_from(NAMES),
        program=st.sampled_from([ABLE, ABLE, ABLE, UNAWARE, PRODUCTION]),
        goal=st.sampled_from([0, 1, 1]),
        excused=st.sampled_from([frozenset(), frozenset(), frozenset({"c-2"})]),
    )
    def start(self, name: str, program: str, goal: int, excused: frozenset[str]) -> None:
        """Start a process; operators don't start production's version at a version above 0, unless it is barred."""
        if name in self.running:
            return
        bar = self.state.items.get(keys.node(name))
        barred = bar is not None and bar[0]["lease"] == NO_LEASE
        if program == PRODUCTION and self._version() > 0 and not barred:
            return
        if program != ABLE and barred:
            return  # the process finds a record under its key and waits indefinitely
        watch_cache = WatchCache(None, JobStore(), Clock(lambda: self.now, lambda: self.now), 1.0)
        self._catch_up(watch_cache)
        process = Process(name, program, self._lease(), watch_cache, goal, excused)
        record = NodeRecord("a", process.lease, NEWEST_VERSION, OLDEST_VERSION, goal)
        if program != ABLE:
            record = NodeRecord("a", process.lease, 1 if program == UNAWARE else 0)
        conditions = [Compare(keys.node(name), self._mod_revision(keys.node(name)))]
        if program == ABLE:
            assert CommittedVersionFence(None, process.committed).check_committed() is None
            conditions += [Compare(key, watch_cache.stored_mod_revision(key)) for key in (keys.ROLLOUT, keys.FORMAT)]
        if self._commit(Transaction(conditions, [Put(keys.node(name), record, process.lease)])):
            self.running[name] = process

    def _lease(self) -> int:
        _, response = self.state._leases("POST", "/leases", msgspec.msgpack.encode({"life_ms": 600_000_000}))
        return response["hold"]

    @initialize(rounds=st.integers(0, 6), goal=st.sampled_from([0, 1]), more=st.integers(0, 5))
    def begin(self, rounds: int, goal: int, more: int) -> None:
        """Set up a cluster after some rounds of a rollout, optionally with its goal lowered afterwards."""
        for name in NAMES:
            self.start(name, ABLE, 1, frozenset())
        self.take_leadership("c-0")
        for _ in range(rounds):
            self.round(None)
        if goal == 0:
            self.change_goal(0)
            for _ in range(more):
                self.round("c-2")

    @rule(goal=st.sampled_from([0, 1]))
    def change_goal(self, goal: int) -> None:
        """Restart every controller that follows rollouts with another goal; the other programs keep running."""
        for name in list(self.running):
            if self.running[name].program == ABLE:
                self.stop(name)
                self.start(name, ABLE, goal, frozenset())
        self.take_leadership("c-0")

    @rule(isolated=st.sampled_from([None, *NAMES]))
    def round(self, isolated: str | None) -> None:
        """Let all controllers but `isolated` catch up with the store, then let the leader take a step."""
        self.time_passes(90.0)
        for name in self.running:
            if name != isolated:
                self.update_watch_cache(name)
        for process in list(self.running.values()):
            if process.program == ABLE and process.name != isolated:
                self._take_step(process, False)

    @rule(name=st.sampled_from(NAMES), job=st.sampled_from(JOBS))
    def reload_record(self, name: str, job: str) -> None:
        """Reload one record after a conflict, before the watch delivers the other changes."""
        if name in self.running:
            value, mod_revision, _ = self.state.items[keys.job(job)]
            self.running[name].watch_cache.put(keys.job(job), msgspec.msgpack.encode(value), ModRevision(mod_revision))

    @rule(name=st.sampled_from(NAMES))
    def stop(self, name: str) -> None:
        """End a process; its lease ends with it."""
        process = self.running.pop(name, None)
        if process is not None:
            self.state.end(process.lease)
            self._record_history()

    @rule(name=st.sampled_from(NAMES))
    def update_watch_cache(self, name: str) -> None:
        """Apply all pending changes to the watch cache of a process."""
        if name in self.running:
            self._catch_up(self.running[name].watch_cache)

    @rule(name=st.sampled_from(NAMES))
    def take_leadership(self, name: str) -> None:
        """Make a controller the leader if it follows rollouts; an earlier version's announcements can't be changed."""
        process = self.running.get(name)
        if process is not None and process.program == ABLE and not self._mod_revision(keys.LEADER):
            self._commit(
                Transaction(
                    [Compare(keys.LEADER, 0)], [Put(keys.LEADER, LeaderRecord(name, process.lease), process.lease)]
                )
            )

    @rule(seconds=st.sampled_from([1.0, 30.0, 90.0]))
    def time_passes(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds

    @rule(name=st.sampled_from(NAMES), late=st.booleans())
    def lead(self, name: str, late: bool) -> None:
        """Let a controller that is leader by its own watch cache, which may lag behind, take a step."""
        process = self.running.get(name)
        if process is not None and process.program == ABLE:
            self._take_step(process, late)

    def _take_step(self, process: Process, late: bool) -> None:
        watch_cache, committed = process.watch_cache, process.committed
        leader = watch_cache.get(keys.LEADER, LeaderRecord)
        if leader is None or leader[0].lease != process.lease:
            return
        directives = directives_from(RolloutSettings(True, process.goal, None, 60.0, process.excused))
        current, since = committed.current(), committed.mod_revision()
        unconverted = self._unconverted_jobs(watch_cache, current, since)
        configured = frozenset(NodeId(name) for name in NAMES)
        clock = Clock(wall=lambda: self.now)
        facts = collect_facts(
            watch_cache,
            committed,
            configured=configured,
            limits=step_limits(TXN_OPS),
            records_to_rewrite=len(unconverted),
            now=clock.wall_ms(),
        )
        for job in unconverted[:1]:
            self._write(process, job, late)
        outcome = state_machine.next_step(current, facts, directives)
        if isinstance(outcome, state_machine.Step):
            self._commit_or_delay(
                StepTransactionBuilder(watch_cache, committed, TXN_OPS).build_step(leader[1], outcome), late
            )

    def _unconverted_jobs(self, watch_cache: WatchCache, current: RolloutRecord, since: ModRevision) -> list[str]:
        compact = watch_cache.compact_jobs
        views = watch_cache.store.jobs.values()
        if current.phase is RolloutPhase.ACTIVE:
            return [view.id for view in views if view.id not in compact]
        if current.phase is RolloutPhase.RETREATING:
            return [view.id for view in views if view.id in compact or view.mod_revision < since]
        return []

    @rule(name=st.sampled_from(NAMES), job=st.sampled_from(JOBS), late=st.booleans())
    def write(self, name: str, job: str, late: bool) -> None:
        """Let a process write a job record."""
        if name in self.running:
            self._write(self.running[name], job, late)

    def _write(self, process: Process, job: str, late: bool) -> None:
        """Write a record in the layout that is allowed according to the process's watch cache."""
        view = process.watch_cache.store.get(job)
        if view is None or (process.program == PRODUCTION and job in process.watch_cache.compact_jobs):
            return
        conditions = [Compare(keys.job(job), view.mod_revision)]
        if process.program == ABLE:
            value = to_stored(view.record, MAX_PLAIN_BYTES, compact_allowed=process.committed.compact_allowed())
            conditions += process.committed.write_conditions(layout_kind_of(value))
        else:
            compact_allowed = process.program == UNAWARE and process.committed.announced_version() >= 1
            value = to_stored(view.record, MAX_PLAIN_BYTES, compact_allowed=compact_allowed)
        self._commit_or_delay(Transaction(conditions, [Put(keys.job(job), value)]), late)

    @precondition(lambda self: self.late)
    @rule(number=st.integers(0, 20))
    def apply_late_commit(self, number: int) -> None:
        """Apply one of the transactions in flight."""
        self._commit(self.late.pop(number % len(self.late)))

    # -- invariants

    @invariant()
    def running_programs_can_read_all_records(self) -> None:
        """Check that production never runs while a compact record exists, and that compact records were allowed."""
        layout_kinds = {
            layout_kind_of(decode_stored(msgspec.msgpack.encode(self.state.items[keys.job(job)][0]))) for job in JOBS
        }
        if LayoutKind.COMPACT in layout_kinds:
            assert all(process.program != PRODUCTION for process in self.running.values())
            assert self._version() >= 1 or any(p.program == UNAWARE for p in self.running.values())

    @invariant()
    def version_changes_match_transitions(self) -> None:
        """Check every change of the version against `TRANSITIONS`."""
        for before, after in zip(self.history, self.history[1:], strict=False):
            assert after.version - before.version == TRANSITIONS[before.phase.value, after.phase.value]

    @invariant()
    def announced_version_is_committed(self) -> None:
        """Check that the version announced to older programs is the committed version."""
        if keys.ROLLOUT in self.state.items:
            announced = self.state.items.get(keys.FORMAT)
            assert self._version() == (announced[0]["version"] if announced else 0)

    def teardown(self) -> None:
        """Check that a rollout is finalized once every controller follows rollouts and has the same goal."""
        for name in list(self.running):
            self.stop(name)
        for name in NAMES:
            self.start(name, ABLE, NEWEST_VERSION, frozenset())
        self.take_leadership("c-0")
        for _ in range(40):
            self.time_passes(90.0)
            for name in NAMES:
                self.update_watch_cache(name)
            self.lead("c-0", False)
        assert (self._version(), self.history[-1].phase) == (NEWEST_VERSION, RolloutPhase.FINALIZED)
        assert all(
            isinstance(decode_stored(msgspec.msgpack.encode(self.state.items[keys.job(j)][0])), CompactRecord)
            for j in JOBS
        )
