"""The state machine of a rollout: one pure function per phase, which decides the next step from committed facts.

The tables in `docs/rollout.md` list the transitions. The leader commits each step in one transaction, which is
conditional on all keys on which the decision is based.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from cloverplank.basic_types import MS_PER_SECOND, ModRevision, NodeId, WallTimeMs
from cloverplank.records.rollout import RolloutPhase, RolloutRecord


class LiveController(Struct, frozen=True):
    """The committed record of a controller that holds a lease.

    `newest_version` and `oldest_version` bound the versions that its program reads. `oldest_version` is None for a
    program that does not follow rollouts. `goal` is None for such a program, and if staged rollouts are disabled.
    """

    mod_revision: ModRevision
    newest_version: int
    oldest_version: int | None
    goal: int | None

    def can_read(self, version: int) -> bool:
        """Return whether the controller's program reads the version."""
        return (self.oldest_version or 0) <= version <= self.newest_version


class Facts(Struct, frozen=True):
    """The facts on which a step is decided.

    `configured` names every controller of the deployment, `controllers` holds those with a lease, and `unreadable`
    lists the controllers' keys that can't be read. `announced_version` is the version in the format key, and
    `rollout_mod_revision` the mod revision of the rollout key; both are 0 if the key does not exist.
    `records_to_rewrite` is the number of records that the phase still has to migrate, or None if they are not counted
    yet. `barred` holds the mod revisions of the keys by which an earlier step barred absent controllers from joining.
    """

    configured: frozenset[NodeId]
    controllers: dict[NodeId, LiveController]
    unreadable: tuple[str, ...]
    announced_version: int
    now: WallTimeMs
    records_to_rewrite: int | None
    max_compared_controllers: int  # the number of controllers' keys that one transaction can compare
    max_barred_controllers: int  # the number of absent controllers' keys that one transaction can write
    rollout_mod_revision: ModRevision
    barred: dict[NodeId, ModRevision]

    def mod_revisions(self) -> dict[NodeId, ModRevision]:
        """Return the mod revisions of the keys of all controllers that hold a lease."""
        return {name: controller.mod_revision for name, controller in self.controllers.items()}

    def goals(self) -> list[int | None]:
        """Return the goals of all controllers that hold a lease."""
        return [controller.goal for controller in self.controllers.values()]


class Directives(Struct, frozen=True):
    """The settings of the leader's operators.

    `goal` is the highest version to roll out to, by default the newest that the leader's program reads.
    """

    soak_ms: int
    hold_at: RolloutPhase | None
    excused: frozenset[NodeId]
    goal: int


class Step(Struct, frozen=True):
    """A transition to commit: the new record, the reason, and the conditions on controllers' keys.

    `unchanged` maps controllers to the mod revisions that their keys must still have. `barred` names absent controllers
    to bar from joining; their keys must not exist, or must be unchanged since the facts were collected.
    """

    record: RolloutRecord
    reason: str
    unchanged: dict[NodeId, ModRevision] = {}
    barred: frozenset[NodeId] = frozenset()


class Waiting(Struct, frozen=True):
    """The decision to take no step now, with the reasons."""

    reasons: tuple[str, ...] = ()


Outcome = Step | Waiting


def next_step(current: RolloutRecord, facts: Facts, directives: Directives) -> Outcome:
    """Decide the next step; return the step, or the reasons for waiting."""
    if facts.unreadable:
        return Waiting(tuple(f"{key} can't be read" for key in facts.unreadable))
    return _TRANSITIONS[current.phase](current, facts, directives)


def absent_excused(facts: Facts, directives: Directives) -> frozenset[NodeId]:
    """Return the excused controllers that are absent; the excuse of a live controller is ignored."""
    return directives.excused - facts.controllers.keys()


def ignored_excuse_warnings(facts: Facts, directives: Directives) -> tuple[str, ...]:
    """Return a warning for each excused controller that is up, whose excuse is ignored."""
    return tuple(
        f"{name} is excused although it is up: the excuse is ignored"
        for name in sorted(directives.excused & facts.controllers.keys())
    )


def blocking_reasons(facts: Facts, directives: Directives, versions: tuple[int, ...]) -> tuple[str, ...]:
    """Return the reasons why a step that requires all controllers to read the versions can't be committed."""
    excused = absent_excused(facts, directives)
    reasons = [f"{name} is not there" for name in sorted(facts.configured - facts.controllers.keys() - excused)]
    for name, controller in sorted(facts.controllers.items()):
        if controller.oldest_version is None:
            reasons.append(f"{name} runs a program that does not follow rollouts")
        elif not all(controller.can_read(version) for version in versions):
            reasons.append(f"{name} reads versions {controller.oldest_version} to {controller.newest_version} only")
    if len(facts.controllers) + len(directives.excused) > facts.max_compared_controllers:
        reasons.append(
            f"one transaction can't be conditional on more than {facts.max_compared_controllers} controllers"
        )
    if len(excused) > facts.max_barred_controllers:
        reasons.append(f"one transaction can't bar more than {facts.max_barred_controllers} excused controllers")
    return tuple(reasons)


def _goal_conflicts(facts: Facts, is_acceptable: Callable[[int], bool], required: str) -> tuple[str, ...]:
    """Return a reason for each controller whose goal is not acceptable; `required` describes the goals that are."""
    return tuple(
        f"{name} has {'the rollout switched off' if controller.goal is None else f'goal {controller.goal}'}, "
        f"{required} is required"
        for name, controller in sorted(facts.controllers.items())
        if controller.goal is None or not is_acceptable(controller.goal)
    )


def _upgrade_blocking_reasons(
    current: RolloutRecord, facts: Facts, directives: Directives, target: int
) -> tuple[str, ...]:
    """Return the reasons why the rollout can't proceed to the target version now."""
    reasons = blocking_reasons(facts, directives, (current.version, target))
    return reasons + _goal_conflicts(facts, lambda goal: goal >= target, f"a goal of {target}")


def _mod_revisions_by_name(mod_revisions: dict[NodeId, ModRevision]) -> dict[str, int]:
    return {str(name): int(mod_revision) for name, mod_revision in mod_revisions.items()}


def _sorted_names(names: frozenset[NodeId]) -> list[str]:
    return sorted(str(name) for name in names)


# Steps shared by several phases.


def _adopt_announced_version(current: RolloutRecord, facts: Facts) -> Step | None:
    """Adopt a higher version announced by a program without staged rollouts; return None if there is none.

    Such a version is announced only once all controllers read it.
    """
    version = facts.announced_version
    if version <= current.version:
        return None
    return Step(RolloutRecord(version, RolloutPhase.ACTIVE, version, facts.now), f"version {version} was announced")


def _cancel_upgrade(current: RolloutRecord, facts: Facts) -> Step | None:
    """Finalize the current version if every live controller has a goal and none has a higher one, else return None."""
    goals = facts.goals()
    if not goals or any(goal is None or goal > current.version for goal in goals):
        return None
    record = RolloutRecord(current.version, RolloutPhase.FINALIZED, current.version, facts.now)
    return Step(record, f"cancelled: all goals are at most {current.version}")


def _begin_retreat(current: RolloutRecord, facts: Facts, directives: Directives) -> Outcome | None:
    """Begin the retreat once every controller's goal is below the version; return None if no goal is."""
    version = current.version
    if version == 0 or not any(goal is not None and goal < version for goal in facts.goals()):
        return None
    reasons = blocking_reasons(facts, directives, (version - 1, version))
    reasons += _goal_conflicts(facts, lambda goal: goal < version, f"a goal below {version}")
    if reasons:
        return Waiting(reasons)
    return _begin_record_count(version, f"retreat from version {version}", facts, directives)


def _begin_record_count(version: int, reason: str, facts: Facts, directives: Directives) -> Step:
    """Start or restart a retreat: all records older than this step's commit must be rewritten.

    `_may_have_joined_since_count` explains when the count has to restart.
    """
    unchanged = facts.mod_revisions()
    absent = absent_excused(facts, directives)
    record = RolloutRecord(
        version,
        RolloutPhase.RETREATING,
        target=version - 1,
        since=facts.now,
        controllers=_mod_revisions_by_name(unchanged),
        excused=_sorted_names(absent),
    )
    return Step(record, reason, unchanged, absent)


# One function per phase.


def _from_finalized(current: RolloutRecord, facts: Facts, directives: Directives) -> Outcome:
    outcome = _adopt_announced_version(current, facts) or _begin_retreat(current, facts, directives)
    if outcome is not None:
        return outcome
    target = current.version + 1
    if target > directives.goal:
        return Waiting()
    reasons = _upgrade_blocking_reasons(current, facts, directives, target)
    if reasons:
        return Waiting(reasons)
    record = RolloutRecord(current.version, RolloutPhase.PREPARED, target, facts.now)
    return Step(record, f"all {len(facts.controllers)} controllers read version {target}")


def _from_prepared(current: RolloutRecord, facts: Facts, directives: Directives) -> Outcome:
    step = _adopt_announced_version(current, facts) or _cancel_upgrade(current, facts)
    if step is not None:
        return step
    reasons = _upgrade_blocking_reasons(current, facts, directives, current.target)
    if reasons:
        return Waiting(reasons)
    if directives.hold_at is RolloutPhase.PREPARED:
        return Waiting(("held at prepared by the operators' settings",))
    unchanged = facts.mod_revisions()
    record = RolloutRecord(
        current.version, RolloutPhase.SOAK, current.target, facts.now, _mod_revisions_by_name(unchanged)
    )
    return Step(record, f"{len(unchanged)} controllers are up and read version {current.target}", unchanged)


def _from_soak(current: RolloutRecord, facts: Facts, directives: Directives) -> Outcome:
    step = _adopt_announced_version(current, facts) or _cancel_upgrade(current, facts)
    if step is not None:
        return step
    reasons = _upgrade_blocking_reasons(current, facts, directives, current.target) or _changed_since_soak_began(
        current, facts
    )
    if reasons:
        record = RolloutRecord(current.version, RolloutPhase.PREPARED, current.target, facts.now)
        return Step(record, f"the soak restarts: {'; '.join(reasons)}")
    if directives.hold_at is RolloutPhase.SOAK:
        return Waiting(("held at soak by the operators' settings",))
    if facts.now < current.since + directives.soak_ms:
        return Waiting((f"the soak of {directives.soak_ms / MS_PER_SECOND:g} s is not over",))
    absent = absent_excused(facts, directives)
    record = RolloutRecord(
        current.target, RolloutPhase.ACTIVE, current.target, facts.now, excused=_sorted_names(absent)
    )
    soaked_s = (facts.now - current.since) / MS_PER_SECOND
    return Step(record, f"all controllers held their leases for {soaked_s:.0f} s", facts.mod_revisions(), absent)


def _changed_since_soak_began(current: RolloutRecord, facts: Facts) -> tuple[str, ...]:
    """Return a reason for each controller that has joined or lost its lease since the soak began.

    The key of such a controller is gone or has another mod revision.
    """
    mod_revisions = _mod_revisions_by_name(facts.mod_revisions())
    return tuple(
        f"{name} has joined or lost its lease since the soak began"
        for name in sorted(current.controllers.keys() | mod_revisions.keys())
        if current.controllers.get(name) != mod_revisions.get(name)
    )


def _from_active(current: RolloutRecord, facts: Facts, directives: Directives) -> Outcome:
    retreat = _begin_retreat(current, facts, directives)
    if retreat is not None:
        return retreat
    if directives.hold_at is RolloutPhase.ACTIVE:
        return Waiting(("held at active by the operators' settings",))
    if facts.records_to_rewrite != 0:
        return _waiting_for_records(facts)
    record = msgspec.structs.replace(current, phase=RolloutPhase.FINALIZED, since=facts.now)
    return Step(record, "no record is left in an older shape")


def _from_retreating(current: RolloutRecord, facts: Facts, directives: Directives) -> Outcome:
    version = current.version
    reasons = blocking_reasons(facts, directives, (current.target, version))
    if reasons:
        return Waiting(reasons)
    if all(goal is not None and goal >= version for goal in facts.goals()):
        record = msgspec.structs.replace(
            current, phase=RolloutPhase.ACTIVE, target=version, since=facts.now, controllers={}
        )
        return Step(record, f"retreat cancelled: all goals are at least {version}", facts.mod_revisions())
    if _may_have_joined_since_count(current, facts, directives):
        return _begin_record_count(version, "another process may have joined: recounting records", facts, directives)
    if facts.records_to_rewrite != 0:
        return _waiting_for_records(facts)
    record = RolloutRecord(current.target, RolloutPhase.FINALIZED, current.target, facts.now)
    return Step(record, f"no record is left that version {current.target} can't read", facts.mod_revisions())


def _may_have_joined_since_count(current: RolloutRecord, facts: Facts, directives: Directives) -> bool:
    """Return whether another process may have joined since the record count began.

    Such a process might not follow rollouts and might write records in any shape. No process has joined if the keys of
    all live controllers are unchanged, and those of all absent ones are as the commit that began the count left them.
    """
    if current.controllers != _mod_revisions_by_name(facts.mod_revisions()):
        return True
    return any(facts.barred.get(name) != facts.rollout_mod_revision for name in absent_excused(facts, directives))


def _waiting_for_records(facts: Facts) -> Waiting:
    count = "not counted yet" if facts.records_to_rewrite is None else facts.records_to_rewrite
    return Waiting((f"records to rewrite: {count}",))


_TRANSITIONS: dict[RolloutPhase, Callable[[RolloutRecord, Facts, Directives], Outcome]] = {
    RolloutPhase.FINALIZED: _from_finalized,
    RolloutPhase.PREPARED: _from_prepared,
    RolloutPhase.SOAK: _from_soak,
    RolloutPhase.ACTIVE: _from_active,
    RolloutPhase.RETREATING: _from_retreating,
}
