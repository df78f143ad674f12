"""The holder of a block: answers its zone's workers, places inside it, taints and evicts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from msgspec import Struct

from cloverplank.basic_types import Clock, FencingToken, JobId, MachineId, Mono, TaskRef, Zone
from cloverplank.jobs import records
from cloverplank.jobs.headroom import Headroom
from cloverplank.jobs.placing import TINY, Rooms, Turn
from cloverplank.jobs.ranges import numbers
from cloverplank.jobs.record_space import RecordSpace
from cloverplank.jobs.records import Ended, JobRecord, Phase
from cloverplank.jobs.store import CachedJob, JobStore, Pending
from cloverplank.load import LoadMeter, NoMeter, Part
from cloverplank.net.messages import Http, NoAnswer, NoRoom, NotSent
from cloverplank.state import keys
from cloverplank.state.mirror import Mirror
from cloverplank.state.queue import CommitQueue, Urgency
from cloverplank.wire.cloud import MachineType
from cloverplank.wire.codec import BadMessage, decode, encode
from cloverplank.wire.statesvc import Condition
from cloverplank.wire.workers import ORDERS_PATH, DirectOrders, Order, Report, ReportAnswer

from .errors import Deposed, Unanswered
from .machines import Health, Machine
from .packing import Packing
from .placer import Placer
from .preempting import Turnover
from .presence import PROBE_S, UNSHOWN_MOST, Presence
from .returning import Returning
from .rooming import Rooming

log = logging.getLogger("cloverplank.holder")

MAX_ORDERS = 250  # keeps an answer well under 64 KiB
MAX_MACHINES = 20_000  # in one zone: only a bound on memory
MAX_FAILING_JOBS = 2_000  # whose failures are remembered; the oldest are forgotten first
REAPS = 8  # ended tasks that wait on a machine for other orders to go with: each change there is one more report
# Completions of one job are gathered for this long, or for longer where so many arrays run that their
# commits would take more than a part of the changes a second. What they free is free at once.
MERGE_S, LONGEST_MERGE_S, DONE_PART = 0.25, 2.5, 0.2
DIRECT_S = 2.0


class Limits(Struct, frozen=True):
    report_s: float
    lease_s: float
    hold_on_s: float
    taint_after_s: float
    quiet_after_s: float
    space: RecordSpace
    write_rps: float
    eviction_limit_ms: int
    faulty_errors: int
    release_after_s: float


class Stop(Struct, frozen=True):
    machine: MachineId
    grace_s: float
    why: str
    at: Mono


class Block:
    """One zone's machines under one grant. Ends with the grant; a new grant makes a new Block."""

    def __init__(
        self,
        zone: Zone,
        token: FencingToken,
        clock: Clock,
        store: JobStore,
        mirror: Mirror,
        queue: CommitQueue,
        http: Http,
        limits: Limits,
        types: Callable[[], dict[str, MachineType]],
        returning: Returning,
        may_start: Callable[[], bool],
        request_round: Callable[[], None],
        meter: LoadMeter | None = None,
    ) -> None:
        self.zone = zone
        self.token = token
        self.own_tokens = {token}  # under which nobody but us gave orders
        self.clock = clock
        self.store = store
        self._mirror = mirror
        self._queue = queue
        self._http = http
        self.limits = limits
        self.types = types
        self.returning = returning
        self.may_start = may_start
        self.request_round = request_round
        self._meter = meter or NoMeter()
        self.since = clock.mono()
        # What a former holder may have answered until its bound, and then the lease of the worker.
        self.unfenced_gone_at = Mono(self.since + limits.hold_on_s + limits.lease_s * 1.002 + 1.0)
        self.machines: dict[MachineId, Machine] = {}
        self.stops: dict[TaskRef, Stop] = {}
        self.last_report_at = self.since
        self.bump_wanted = False
        self.deposed = False
        self.deposed_by: MachineId | None = None
        self.deposed_at = self.since
        self.untrusted_workers: set[str] = set()  # workers that showed a token that nobody was granted
        self.former_ended = False
        self._lost_some = False
        self.errors: dict[JobId, dict[str, Mono]] = {}  # job -> machines it failed on
        self.back_off: dict[JobId, Mono] = {}
        self._presence = Presence(self)
        self._placer = Placer(self)
        self._packing = Packing(self)
        self._rooming = Rooming(store)
        self.turnover = Turnover(clock)
        self.spawned: set[asyncio.Task] = set()

    @property
    def conditions(self) -> list[Condition]:
        return [Condition(keys.block(self.zone), self.token)]

    # -- machines

    def machine(self, name: str) -> Machine:
        machine = self.machines.get(MachineId(name))
        if machine is None:
            machine = self.machines[MachineId(name)] = Machine(MachineId(name), self.zone, self.clock.mono())
            machine.heard_at = machine.since
        return machine

    def adopt(self, name: str, addr: str, type_name: str, spot: bool) -> None:
        """Told by a peer or the cloud: so that it can be reached before it finds us."""
        if MachineId(name) not in self.machines and len(self.machines) >= MAX_MACHINES:
            return
        machine = self.machine(name)
        if not machine.addr:
            machine.addr, machine.type, machine.spot = addr, type_name, spot

    def released(self, name: str) -> None:
        """The cloud answered 200: the machine and all that was on it are gone."""
        self.evict(MachineId(name), "released")
        self.machines.pop(MachineId(name), None)

    # -- reports

    def on_report(self, report: Report) -> ReportAnswer:
        now = self.clock.mono()
        if report.token > self.token:
            if report.machine in self.untrusted_workers:
                raise Unanswered("a token that nobody was granted")
            self._depose(report)
        if report.machine not in self.machines and len(self.machines) >= MAX_MACHINES:
            raise Unanswered("too many machines")
        machine = self.machine(report.machine)
        if not machine.fresh(report):
            raise Unanswered("a late copy")
        self.last_report_at = now
        if report.token == self.token and machine.without_news(report, self.store.change_count(machine.id)):
            machine.again(report, now)
            return ReportAnswer(self.token, [])
        machine.reported = (report.session, report.seq)
        machine.reported_at = now
        machine.addr, machine.type, machine.spot = report.addr or machine.addr, report.type, report.spot
        orders: list[Order] = []
        if self._learn(machine, report, in_answer=True):
            orders, reaps = self._orders(machine)
            if orders or len(reaps) >= REAPS:
                orders = (reaps + orders)[:MAX_ORDERS]
            machine.in_answer.update(self._refs(orders))
            if not orders and not machine.unresolved and self.may_start():
                machine.settled = self.store.change_count(machine.id)
        machine.unshown = 0 if report.token == self.token else machine.unshown + 1
        if machine.unshown > UNSHOWN_MOST:
            # It hears none of our answers, or just some of them. Each might renew the lease of tasks
            # that we know nothing of, so there are none until that lease has run out for certain.
            held = machine.health is not Health.TAINTED and bool(self.store.on(machine.id))
            if held or now < machine.gone_at(self.limits.lease_s, self.unfenced_gone_at):
                raise Unanswered("our answers don't reach it")
            machine.unshown = 1
        machine.answered_at = self.clock.mono()
        return ReportAnswer(self.token, orders)

    def _depose(self, report: Report) -> None:
        if not self.deposed:
            log.info(
                "block %s: worker %s has token %d above ours, %d: deposed",
                self.zone,
                report.machine,
                report.token,
                self.token,
            )
            self.deposed_by, self.deposed_at = MachineId(report.machine), self.clock.mono()
        self.deposed = True
        raise Deposed

    def reinstate(self) -> None:
        """All that was committed before a worker deposed us is known, and the block is still ours: nobody was
        granted the token that it showed."""
        log.info("block %s: nobody was granted the token of worker %s: not deposed", self.zone, self.deposed_by)
        self.deposed = False
        if self.deposed_by is not None and len(self.untrusted_workers) < MAX_MACHINES:
            self.untrusted_workers.add(self.deposed_by)

    @staticmethod
    def _refs(orders: list[Order]) -> list[TaskRef]:
        refs = []
        for order in orders:
            if order.op == "start":
                job, _, index = order.task.rpartition("/")
                refs.append(TaskRef(JobId(job), int(index), order.attempt))  # type: ignore[arg-type]
        return refs

    def _learn(self, machine: Machine, report: Report, in_answer: bool) -> bool:
        """Takes a report in. False: it is old, or from before the worker knew our token."""
        now = self.clock.mono()
        if not machine.newer(report):
            return False
        notice = report.notice_s
        machine.ends_at = Mono(now + max(0.0, notice)) if notice is not None else None
        machine.heard_at = now
        shown, machine.token = machine.token, max(machine.token or 0, report.token)
        if report.token not in self.own_tokens:
            # What it shows may be older than orders of the former holder that are still on their way.
            machine.session, machine.seq = report.session, report.seq
            return False
        if not machine.fenced:
            # Until now a former holder can have answered it.
            machine.fenced = True
            machine.answered_at = max(machine.answered_at, now)
        machine.take(report, FencingToken(report.token), now, in_answer)
        if not in_answer or (shown is not None and shown < report.token):
            machine.prove()
        if machine.health is not Health.UP:
            if machine.proven and self._presence.reportless(machine, now) > self.limits.quiet_after_s:
                machine.move(Health.SUSPECT, "it answers, and its reports are missing")
            elif machine.proven:
                machine.move(Health.UP, "report")
                self.request_round()
            else:
                machine.move(Health.UNCONFIRMED, "a report after a silence or a new session")
        elif not machine.proven:
            machine.move(Health.UNCONFIRMED, "a new session")
        if machine.health is Health.UNCONFIRMED:
            self._presence.probe(machine)
        self._outcomes(machine)
        return True

    def _outcomes(self, machine: Machine) -> None:
        """Commits what has ended, before it is reaped."""
        ended: dict[JobId, list[Ended]] = {}
        for ref, task in machine.tasks.items():
            view = self.store.get(ref.job)
            if view is None:
                continue
            run = view.staged.run_of(ref, machine.id)
            if run is None:
                continue
            if task.state == "running" and ref not in machine.seen_running:
                machine.seen_running.add(ref)
                log.debug("running %s on %s", ref.name, machine.id)
                kind = self.types().get(machine.type)
                spec = view.record.spec
                machine.remember_image(spec.image, spec.image_gb, kind.cache_gb if kind is not None else 0.0)
            if task.state != "ended":
                continue
            done = task.why == "done"
            if not view.record.spec.service:
                self.turnover.freed(view.record.spec.cpus)
            if task.why == "error":
                self._error(machine, ref.job)
            ended.setdefault(ref.job, []).append(Ended(ref.index, ref.attempt, machine.id, done))
            self.stops.pop(ref, None)
            log.debug("task %s try %d on %s ended: %s", ref.name, ref.attempt, machine.id, task.why)
        # Placed here, not wanted any more, and not there: gone without a word.
        for view in self.store.on(machine.id):
            if view.staged.phase is Phase.OPEN:
                continue
            for ref in self.placed_refs(view.staged, machine.id):
                if ref not in machine.tasks and not machine.may_start_late(ref):
                    ended.setdefault(view.id, []).append(Ended(ref.index, ref.attempt, machine.id, False))
        for job, tasks in ended.items():
            view = self.store.jobs[job]
            open_tasks = view.staged.missing_count() + view.staged.placed()
            last = sum(1 for t in tasks if t.done) >= open_tasks
            soon = last or any(not t.done for t in tasks)
            delay = 0.0 if soon else self._merge_s()
            self.change(view, records.end(tasks), Urgency.PLACE if soon else Urgency.DONE, delay)
        if ended:
            self.request_round()

    def _merge_s(self) -> float:
        return min(LONGEST_MERGE_S, max(MERGE_S, self._placer.arrays / (DONE_PART * self.limits.write_rps)))

    def _error(self, machine: Machine, job: JobId) -> None:
        """Judges both: a machine on which several jobs fail, a job that fails on several machines."""
        now = self.clock.mono()
        failed_on = self.errors.setdefault(job, {})
        failed_on[machine.id] = now
        if len(self.errors) > MAX_FAILING_JOBS:
            oldest = next(iter(self.errors))
            del self.errors[oldest]
            self.back_off.pop(oldest, None)
        tries = len(failed_on)
        self.back_off[job] = Mono(now + min(30.0, 0.5 * 2 ** min(tries, 8)))
        machine.failed_jobs.add(job)
        log.info("job %s failed on machine %s (%d machines so far)", job, machine.id, tries)

    def faulty(self, machine: Machine) -> bool:
        """Errors of jobs that don't fail elsewhere, too."""
        if not machine.failed_jobs:
            return False
        blame = sum(1 for job in machine.failed_jobs if len(self.errors.get(JobId(job), ())) < 3)
        return blame >= self.limits.faulty_errors

    @staticmethod
    def placed_refs(record: JobRecord, machine: MachineId) -> list[TaskRef]:
        return [
            TaskRef(record.id, index, run.attempt)  # type: ignore[arg-type]
            for run in record.runs_on.get(machine, ())
            for index in numbers(run.tasks)
        ]

    # -- orders

    def _orders(self, machine: Machine) -> tuple[list[Order], list[Order]]:
        """What the worker should do next, from the committed records and its newest report; and what it may
        forget, which is in no hurry."""
        orders: list[Order] = []
        reaps: list[Order] = []
        for ref, task in machine.tasks.items():
            view = self.store.get(ref.job)
            wanted = view is not None and view.record.run_of(ref, machine.id) is not None
            if task.state == "ended":
                # Not while a start may still come: it would be started again.
                if not wanted and not machine.may_start_late(ref):
                    reaps.append(Order("reap", ref.name, ref.attempt))
            elif not wanted or (view is not None and not self.store.wanted(view)):
                orders.append(Order("stop", ref.name, ref.attempt, 0.0))
            elif ref in self.stops and task.state != "saving":
                orders.append(Order("stop", ref.name, ref.attempt, self.stops[ref].grace_s))
        if machine.health is Health.UP and self.may_start():
            for view in self.store.on(machine.id):
                if not self.store.wanted(view) or view.staged.phase is not Phase.OPEN:
                    continue
                for ref in self.placed_refs(view.record, machine.id):
                    # Both: what is staged to leave the machine must not be started there again.
                    if ref not in machine.tasks and view.staged.run_of(ref, machine.id) is not None:
                        orders.append(Order("start", ref.name, ref.attempt))
                        if ref in self.stops:
                            orders.append(Order("stop", ref.name, ref.attempt, 0.0))
        return orders[:MAX_ORDERS], reaps

    def job_changed(self, view: CachedJob | None) -> None:
        """A record changed: machines that have something to do are told at once."""
        if view is None:
            return
        for run in view.record.runs:
            machine = self.machines.get(MachineId(run.machine))
            if machine is not None and machine.health is Health.UP:
                cancelled = not self.store.wanted(view)
                for index in numbers(run.tasks):
                    ref = TaskRef(view.id, index, run.attempt)  # type: ignore[arg-type]
                    if cancelled != (ref not in machine.tasks):
                        self.push(machine)
                        break

    def push(self, machine: Machine) -> None:
        """Sends orders straight to the worker; one such request at a time for each machine."""
        if machine.pushing:
            machine.push_again = True
            return
        if not machine.addr or self.clock.mono() - machine.push_failed_at < 2.0:
            return
        machine.pushing = True
        task = asyncio.ensure_future(self._meter.metered(Part.ORDERS, self._push(machine)))
        self.spawned.add(task)
        task.add_done_callback(self.spawned.discard)

    async def _push(self, machine: Machine) -> None:
        try:
            await asyncio.sleep(0)  # what changes in the same moment goes in one request
            again = True
            while again and not self.deposed and machine.session > 0:
                machine.push_again = False
                orders, reaps = self._orders(machine)
                if not orders:
                    return
                await self.send(machine, (reaps + orders)[:MAX_ORDERS])
                again = machine.push_again
        except Deposed:
            pass
        finally:
            machine.pushing = False

    async def send(self, machine: Machine, orders: list[Order], timeout: float = DIRECT_S) -> bool | None:
        """True: carried out. False: refused, or no answer. None: nothing can be said of the machine."""
        started = set(self._refs(orders))
        machine.in_orders |= started
        session = machine.session
        body = encode(DirectOrders(self.token, session, orders))
        try:
            response = await self._http.request(machine.addr, "POST", ORDERS_PATH, body, timeout)
            if response.status not in (200, 409):
                raise NoAnswer(str(response.status))
            report = decode(response.body, Report)
        except NotSent as err:
            machine.push_failed_at = self.clock.mono()
            machine.in_orders -= started
            log.debug("orders to %s not sent: %s", machine.id, err)
            return None if isinstance(err, NoRoom) else False
        except (NoAnswer, BadMessage) as err:
            # They may be executed at any later time while session and token stand.
            now = self.clock.mono()
            machine.push_failed_at = now
            machine.in_orders -= started
            if machine.session == session:
                machine.unresolved.update({ref: (session, self.token, now) for ref in started})
            log.debug("orders to %s: no answer: %s", machine.id, err)
            return False
        machine.in_orders -= started
        if report.token > self.token and report.machine not in self.untrusted_workers:
            self._depose(report)
        if report.machine == machine.id:
            self._learn(machine, report, in_answer=False)
        return response.status == 200

    async def fence(self, machine: Machine) -> None:
        """Shows the worker our token, so that no former holder's answers or orders count any more."""
        if machine.pushing or not machine.addr:
            return
        machine.pushing = True
        try:
            session = machine.session
            await self.send(machine, [], PROBE_S)
            if not machine.fenced and machine.session != session:
                # Refused for its session, which we had to guess: a worker takes no token from such orders.
                await self.send(machine, [], PROBE_S)
        except Deposed:
            pass
        finally:
            machine.pushing = False
        if machine.fenced:
            self.push(machine)

    # -- the round: health, stops, placement

    def change(
        self, view: CachedJob, change: records.Change, urgency: Urgency, delay: float = 0.0, plan: str = ""
    ) -> None:
        ready = Mono(self.clock.mono() + delay)
        self._queue.change(view, Pending(change, int(urgency), ready, self.conditions, plan=plan))

    def evict(self, machine: MachineId, why: str) -> None:
        views = [
            v for v in self.store.on(machine) if any(r.zone == self.zone for r in v.staged.runs_on.get(machine, ()))
        ]
        if views:
            log.info(
                "eviction: machine %s %s: %d jobs: %s", machine, why, len(views), " ".join(v.id for v in views[:10])
            )
        for view in views:
            self.change(view, records.evict(machine, self.clock.wall()), Urgency.PLACE)

    def check_notice(self, machine: Machine, now: Mono) -> None:
        """The cloud takes it away: tasks that can save do, in time; the others go on while they can."""
        faulty = self.returning.why(machine.id) not in (None, "idle")
        if machine.ends_at is None and not faulty:
            return
        left = 0.0 if machine.ends_at is None else machine.ends_at - now
        for view in self.store.on(machine.id):
            spec = view.record.spec
            can_save = spec.checkpoint_s > 0
            lead = spec.save_s + 1.0 + self.limits.report_s if can_save else self.limits.report_s * 0.6
            if faulty or left <= lead:
                for ref in self.placed_refs(view.record, machine.id):
                    grace = max(spec.save_s, left - 0.5) if can_save else 0.0
                    self.stop(ref, machine, grace, "drain" if faulty else "notice")

    def stop(self, ref: TaskRef, machine: Machine, grace_s: float, why: str) -> None:
        if ref in self.stops:
            return
        self.stops[ref] = Stop(machine.id, grace_s, why, self.clock.mono())
        machine.settled = None
        log.info("stop: task %s try %d on %s: %s", ref.name, ref.attempt, machine.id, why)
        self.push(machine)

    def rooms(self, least_cpus: float = 0.0) -> Rooms:
        """What is free on machines that may take new tasks."""
        result = []
        types = self.types()
        for machine in self.machines.values():
            kind = types.get(machine.type)
            if kind is None or machine.health is not Health.UP or machine.ends_at is not None:
                continue
            if self.store.load(machine.id).cpus + least_cpus > kind.cpus + TINY:
                continue  # full for this round: under a backlog most are
            if machine.id in self.returning or self.faulty(machine) or machine.id in self._packing.emptying:
                continue
            result.append(self._rooming.room(machine.id, self.zone, kind, machine.spot, machine.known_images))
        return Rooms(result, least_cpus)

    def check_machines(self) -> None:
        self._presence.check()

    def place(self, turns: list[Turn], headroom: Headroom) -> None:
        """Places what is allotted to this zone, in order."""
        if self.may_start() and not self.deposed:
            self._placer.run(turns, headroom)

    def settle_evictions(self) -> None:
        self._placer.settle_evictions()

    def pack(self, headroom: Headroom) -> None:
        if self.may_start() and not self.deposed:
            self._packing.run(headroom, self._placer.short)

    def is_running(self, ref: TaskRef, machine: str) -> bool:
        found = self.machines.get(MachineId(machine))
        return found is not None and ref in found.tasks and found.tasks[ref].state == "running"

    def former_gone(self) -> None:
        """All who held the block before are known to have ended by now: what they answered was
        answered before this moment. Said once; later calls change nothing."""
        if self.former_ended:
            return
        self.former_ended = True
        gone_at = Mono(self.clock.mono() + self.limits.lease_s * 1.002 + 0.5)
        if gone_at < self.unfenced_gone_at:
            log.info("block %s: former holders have ended", self.zone)
            self.unfenced_gone_at = gone_at

    def lost(self) -> None:
        """A machine is lost: the leader should hear of it in the next round."""
        self._lost_some = True
        self.request_round()

    def take_lost(self) -> bool:
        """Whether a machine was lost since the last call."""
        found, self._lost_some = self._lost_some, False
        return found

    def renew_token(self, token: FencingToken) -> None:
        """Our own grant under a new stamp: nobody else answered in between."""
        log.info("block %s: token %d -> %d", self.zone, self.token, token)
        self.token = token
        self.own_tokens.add(token)
        self.bump_wanted = False

    def close(self) -> None:
        for task in self.spawned:
            task.cancel()
