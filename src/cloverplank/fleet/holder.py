"""The holder of a block: answers its zone's workers, places inside it, taints and evicts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from msgspec import Struct

from cloverplank.jobs import records
from cloverplank.jobs.book import Book, JobView, Pending
from cloverplank.jobs.headroom import Headroom
from cloverplank.jobs.placing import RANKS, TINY, Rooms, Turn, occupy
from cloverplank.jobs.ranges import numbers
from cloverplank.jobs.records import Ended, JobRecord, Phase
from cloverplank.kinds import Baton, Clock, JobId, MachineId, Mono, TaskRef, Zone
from cloverplank.net.messages import Http, NoAnswer, NoRoom, NotSent
from cloverplank.state import keys
from cloverplank.state.mirror import Mirror
from cloverplank.state.queue import CommitQueue, Urgency
from cloverplank.wire.cloud import MachineType
from cloverplank.wire.codec import BadMessage, decode, encode, json_size
from cloverplank.wire.statesvc import Condition
from cloverplank.wire.workers import ORDERS_PATH, DirectOrders, Order, Report, ReportAnswer

from .machines import Health, Machine
from .packing import Packing
from .preempting import Preemption, Turnover
from .returning import Returning
from .rooming import Rooming

log = logging.getLogger("cloverplank.holder")

MAX_ORDERS = 250  # keeps an answer well under 64 KiB
MAX_MACHINES = 5000
REAPS = 8  # ended tasks that wait on a machine for other orders to go with: each change there is one more report
SAFE_RUNS = 40  # fit in any value
BYTES_A_RUN = 64  # of a record, with what its end leaves in the ranges of done tasks
# Completions of one job are gathered for this long, or for longer where so many arrays run that their
# commits would take more than a part of the changes a second. What they free is free at once.
MERGE_S, LONGEST_MERGE_S, DONE_PART = 0.25, 2.5, 0.2
# Between two looks for room for arrays that aren't urgent, by the machine: among hundreds of them a task ends in
# every moment, and a commit for each single one kept the urgent waiting for theirs.
ARRAYS_S, LONGEST_ARRAYS_S = 0.002, 0.5
DIRECT_S = 2.0
PROBE_S = 1.0
MAX_PROBES = 48  # at once: more would take the sockets that orders need
ASK_AGAIN_S = 5.0  # between two questions to a machine that did not answer the first
CHECK_S = 0.2  # between two looks at all machines for silence
MANY = 6.0  # reports expected while a question waits, from where on one at least must have come
LATE_S = 0.4  # a question that took this much longer than its limit was held up on our side
UNSHOWN_MOST = 3  # reports answered in a row without one of them showing our baton
UNRESOLVED_S = 3.0
SEARCH_S = 4.0  # a new holder is found by workers after this long: a time limit of theirs
# A machine that answers orders and sends no report is mute after this part of its lease, and so many report periods: a
# worker whose answer was lost is back sooner.
MUTE_PART, MUTE_REPORTS = 0.7, 3.2


class Deposed(Exception):
    """A worker has seen a higher baton than ours."""


class Unanswered(Exception):
    """A report that gets no answer that renews a lease."""


class Limits(Struct, frozen=True):
    report_s: float
    lease_s: float
    hold_on_s: float
    taint_after_s: float
    quiet_after_s: float
    value_bytes: int
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
        self, zone: Zone, baton: Baton, clock: Clock, book: Book, mirror: Mirror, queue: CommitQueue,
        http: Http, limits: Limits, types: Callable[[], dict[str, MachineType]], returning: Returning,
        may_start: Callable[[], bool], kick: Callable[[], None],
    ) -> None:
        self.zone = zone
        self.baton = baton
        self.own_batons = {baton}  # under which nobody but us gave orders
        self.clock = clock
        self.book = book
        self._mirror = mirror
        self._queue = queue
        self._http = http
        self._limits = limits
        self.types = types
        self._returning = returning
        self._may_start = may_start
        self._kick = kick
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
        self.liars: set[str] = set()  # workers that showed a baton that nobody was granted
        self.former_ended = False
        self.errors: dict[JobId, dict[str, Mono]] = {}  # job -> machines it failed on
        self.back_off: dict[JobId, Mono] = {}
        self._packing = Packing(self)
        self._rooming = Rooming(book)
        self.turnover = Turnover(clock)
        self._short = False  # a replica lacked room in the last round
        self._jobs_tasks: set[asyncio.Task] = set()
        self._probes = 0
        self._checked_at = Mono(-1e9)
        self._arrays_at = Mono(-1e9)
        self._arrays = 0  # that have tasks here

    @property
    def conditions(self) -> list[Condition]:
        return [Condition(keys.block(self.zone), self.baton)]

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
        self._evict(MachineId(name), "released")
        self.machines.pop(MachineId(name), None)

    # -- reports

    def on_report(self, report: Report) -> ReportAnswer:
        now = self.clock.mono()
        if report.token > self.baton:
            if report.machine in self.liars:
                raise Unanswered("a baton that nobody was granted")
            self._depose(report)
        if report.machine not in self.machines and len(self.machines) >= MAX_MACHINES:
            raise Unanswered("too many machines")
        machine = self.machine(report.machine)
        if not machine.fresh(report):
            raise Unanswered("a late copy")
        self.last_report_at = now
        if report.token == self.baton and machine.without_news(report, self.book.touched(machine.id)):
            machine.again(report, now)
            return ReportAnswer(self.baton, [])
        machine.reported = (report.session, report.seq)
        machine.reported_at = now
        machine.addr, machine.type, machine.spot = report.addr or machine.addr, report.type, report.spot
        orders: list[Order] = []
        if self._learn(machine, report, in_answer=True):
            orders, reaps = self._orders(machine)
            if orders or len(reaps) >= REAPS:
                orders = (reaps + orders)[:MAX_ORDERS]
            machine.in_answer.update(self._refs(orders))
            if not orders and not machine.unresolved and self._may_start():
                machine.settled = self.book.touched(machine.id)
        machine.unshown = 0 if report.token == self.baton else machine.unshown + 1
        if machine.unshown > UNSHOWN_MOST:
            # It hears none of our answers, or just some of them. Each might renew the lease of tasks
            # that we know nothing of, so there are none until that lease has run out for certain.
            held = machine.health is not Health.TAINTED and bool(self.book.on(machine.id))
            if held or now < machine.gone_at(self._limits.lease_s, self.unfenced_gone_at):
                raise Unanswered("our answers don't reach it")
            machine.unshown = 1
        machine.answered_at = self.clock.mono()
        return ReportAnswer(self.baton, orders)

    def _depose(self, report: Report) -> None:
        if not self.deposed:
            log.info("block %s: worker %s has baton %d above ours, %d: deposed",
                     self.zone, report.machine, report.token, self.baton)
            self.deposed_by, self.deposed_at = MachineId(report.machine), self.clock.mono()
        self.deposed = True
        raise Deposed

    def reinstate(self) -> None:
        """All that was committed before a worker deposed us is known, and the block is still ours: nobody was
        granted the baton that it showed."""
        log.info("block %s: nobody was granted the baton of worker %s: not deposed", self.zone, self.deposed_by)
        self.deposed = False
        if self.deposed_by is not None and len(self.liars) < MAX_MACHINES:
            self.liars.add(self.deposed_by)

    @staticmethod
    def _refs(orders: list[Order]) -> list[TaskRef]:
        refs = []
        for order in orders:
            if order.op == "start":
                job, _, index = order.task.rpartition("/")
                refs.append(TaskRef(JobId(job), int(index), order.attempt))  # type: ignore[arg-type]
        return refs

    def _learn(self, machine: Machine, report: Report, in_answer: bool) -> bool:
        """Takes a report in. False: it is old, or from before the worker knew our baton."""
        now = self.clock.mono()
        if not machine.newer(report):
            return False
        notice = report.notice_s
        machine.ends_at = Mono(now + max(0.0, notice)) if notice is not None else None
        machine.heard_at = now
        shown, machine.token = machine.token, max(machine.token or 0, report.token)
        if report.token not in self.own_batons:
            # What it shows may be older than orders of the former holder that are still on their way.
            machine.session, machine.seq = report.session, report.seq
            return False
        if not machine.fenced:
            # Until now a former holder can have answered it.
            machine.fenced = True
            machine.answered_at = max(machine.answered_at, now)
        machine.take(report, Baton(report.token), now, in_answer)
        if not in_answer or (shown is not None and shown < report.token):
            machine.prove()
        if machine.health is not Health.UP:
            if machine.proven and self._reportless(machine, now) > self._limits.quiet_after_s:
                machine.move(Health.QUIET, "it answers, and its reports are missing")
            elif machine.proven:
                machine.move(Health.UP, "report")
                self._kick()
            else:
                machine.move(Health.DOUBTED, "a report after a silence or a new session")
        elif not machine.proven:
            machine.move(Health.DOUBTED, "a new session")
        if machine.health is Health.DOUBTED:
            self._probe(machine)
        self._outcomes(machine)
        return True

    def _outcomes(self, machine: Machine) -> None:
        """Commits what has ended, before it is reaped."""
        ended: dict[JobId, list[Ended]] = {}
        for ref, task in machine.tasks.items():
            view = self.book.get(ref.job)
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
        for view in self.book.on(machine.id):
            if view.staged.phase is Phase.OPEN:
                continue
            for ref in self.placed_refs(view.staged, machine.id):
                if ref not in machine.tasks and not machine.may_start_late(ref):
                    ended.setdefault(view.id, []).append(Ended(ref.index, ref.attempt, machine.id, False))
        for job, tasks in ended.items():
            view = self.book.jobs[job]
            open_tasks = view.staged.missing_count() + view.staged.placed()
            last = sum(1 for t in tasks if t.done) >= open_tasks
            soon = last or any(not t.done for t in tasks)
            delay = 0.0 if soon else self._merge_s()
            self._change(view, records.end(tasks), Urgency.PLACE if soon else Urgency.DONE, delay)
        if ended:
            self._kick()

    def _merge_s(self) -> float:
        return min(LONGEST_MERGE_S, max(MERGE_S, self._arrays / (DONE_PART * self._limits.write_rps)))

    def _error(self, machine: Machine, job: JobId) -> None:
        """Judges both: a machine on which several jobs fail, a job that fails on several machines."""
        now = self.clock.mono()
        failed_on = self.errors.setdefault(job, {})
        failed_on[machine.id] = now
        if len(self.errors) > 2000:
            self.errors.pop(next(iter(self.errors)))
        tries = len(failed_on)
        self.back_off[job] = Mono(now + min(30.0, 0.5 * 2**min(tries, 8)))
        machine.failed_jobs.add(job)
        log.info("job %s failed on machine %s (%d machines so far)", job, machine.id, tries)

    def faulty(self, machine: Machine) -> bool:
        """Errors of jobs that don't fail elsewhere, too."""
        if not machine.failed_jobs:
            return False
        blame = sum(1 for job in machine.failed_jobs if len(self.errors.get(JobId(job), ())) < 3)
        return blame >= self._limits.faulty_errors

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
            view = self.book.get(ref.job)
            wanted = view is not None and view.record.run_of(ref, machine.id) is not None
            if task.state == "ended":
                # Not while a start may still come: it would be started again.
                if not wanted and not machine.may_start_late(ref):
                    reaps.append(Order("reap", ref.name, ref.attempt))
            elif not wanted or (view is not None and not self.book.wanted(view)):
                orders.append(Order("stop", ref.name, ref.attempt, 0.0))
            elif ref in self.stops and task.state != "saving":
                orders.append(Order("stop", ref.name, ref.attempt, self.stops[ref].grace_s))
        if machine.health is Health.UP and self._may_start():
            for view in self.book.on(machine.id):
                if not self.book.wanted(view) or view.staged.phase is not Phase.OPEN:
                    continue
                for ref in self.placed_refs(view.record, machine.id):
                    # Both: what is staged to leave the machine must not be started there again.
                    if ref not in machine.tasks and view.staged.run_of(ref, machine.id) is not None:
                        orders.append(Order("start", ref.name, ref.attempt))
                        if ref in self.stops:
                            orders.append(Order("stop", ref.name, ref.attempt, 0.0))
        return orders[:MAX_ORDERS], reaps

    def job_changed(self, view: JobView | None) -> None:
        """A record changed: machines that have something to do are told at once."""
        if view is None:
            return
        for run in view.record.runs:
            machine = self.machines.get(MachineId(run.machine))
            if machine is not None and machine.health is Health.UP:
                cancelled = not self.book.wanted(view)
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
        task = asyncio.ensure_future(self._push(machine))
        self._jobs_tasks.add(task)
        task.add_done_callback(self._jobs_tasks.discard)

    async def _push(self, machine: Machine) -> None:
        try:
            await asyncio.sleep(0)  # what changes in the same moment goes in one request
            again = True
            while again and not self.deposed and machine.session > 0:
                machine.push_again = False
                orders, reaps = self._orders(machine)
                if not orders:
                    return
                await self._send(machine, (reaps + orders)[:MAX_ORDERS])
                again = machine.push_again
        except Deposed:
            pass
        finally:
            machine.pushing = False

    async def _send(self, machine: Machine, orders: list[Order], timeout: float = DIRECT_S) -> bool | None:
        """True: carried out. False: refused, or no answer. None: nothing can be said of the machine."""
        started = set(self._refs(orders))
        machine.in_orders |= started
        session = machine.session
        body = encode(DirectOrders(self.baton, session, orders))
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
            # They may be executed at any later time while session and baton stand.
            now = self.clock.mono()
            machine.push_failed_at = now
            machine.in_orders -= started
            if machine.session == session:
                machine.unresolved.update({ref: (session, self.baton, now) for ref in started})
            log.debug("orders to %s: no answer: %s", machine.id, err)
            return False
        machine.in_orders -= started
        if report.token > self.baton and report.machine not in self.liars:
            self._depose(report)
        if report.machine == machine.id:
            self._learn(machine, report, in_answer=False)
        return response.status == 200

    async def fence(self, machine: Machine) -> None:
        """Shows the worker our baton, so that no former holder's answers or orders count any more."""
        if machine.pushing or not machine.addr:
            return
        machine.pushing = True
        try:
            session = machine.session
            await self._send(machine, [], PROBE_S)
            if not machine.fenced and machine.session != session:
                # Refused for its session, which we had to guess: a worker takes no baton from such orders.
                await self._send(machine, [], PROBE_S)
        except Deposed:
            pass
        finally:
            machine.pushing = False
        if machine.fenced:
            self.push(machine)

    # -- the round: health, stops, placement

    def _change(self, view: JobView, change: records.Change, urgency: Urgency, delay: float = 0.0,
                plan: str = "") -> None:
        ready = Mono(self.clock.mono() + delay)
        self._queue.change(view, Pending(change, int(urgency), ready, self.conditions, plan=plan))

    def _evict(self, machine: MachineId, why: str) -> None:
        views = [
            v for v in self.book.on(machine)
            if any(r.zone == self.zone for r in v.staged.runs_on.get(machine, ()))
        ]
        if views:
            log.info("eviction: machine %s %s: %d jobs: %s", machine, why, len(views),
                     " ".join(v.id for v in views[:10]))
        for view in views:
            self._change(view, records.evict(machine, self.clock.wall()), Urgency.PLACE)

    def check_machines(self) -> None:
        """Silence becomes a taint, a taint evicts; a return within the lease is as if nothing was."""
        now = self.clock.mono()
        limits = self._limits
        if now - self._checked_at < CHECK_S:
            return
        self._checked_at = now
        for name in [m for m in self.book.by_machine if m not in self.machines]:
            if self._returning.gone(name):
                # Released before this holder had the block, or its eviction was lost with the former one.
                if self._may_start():
                    self._evict(name, "released")
                continue
            # Placed by a former holder on a machine that nobody has told us of yet.
            if any(run.zone == self.zone for view in self.book.on(name)
                   for run in view.record.runs_on.get(name, ())):
                self.machine(name)
        if not self._may_start():
            return  # without the state service nothing that it judged could be committed
        for machine in list(self.machines.values()):
            heard_at = machine.heard_at if machine.unshown <= UNSHOWN_MOST else machine.answered_at
            silent = now - max(heard_at, self.since)
            without = self._reportless(machine, now)
            if machine.health in (Health.UP, Health.DOUBTED) and max(silent, without) > limits.quiet_after_s:
                machine.move(Health.QUIET, f"no report for {without:.1f} s, silent for {silent:.1f} s")
                machine.proven = False
            gone_at = machine.gone_at(limits.lease_s, self.unfenced_gone_at)
            if machine.health is not Health.TAINTED and silent >= limits.taint_after_s and now >= gone_at:
                self._taint(machine, silent)
            if machine.deaf():
                self._evict_absent(machine, "deaf")
            self._check_mute(machine, now)
            if machine.health is Health.TAINTED:
                self._evict(machine.id, "tainted")
                machine.in_answer.clear()
                machine.in_orders.clear()
                machine.unresolved.clear()
                machine.tasks.clear()
                if silent > 600 and not self.book.on(machine.id):
                    del self.machines[machine.id]
            elif machine.health is Health.DOUBTED or (silent >= limits.release_after_s > 0 and (
                machine.health is Health.QUIET or self.book.on(machine.id)
            )):
                self._probe(machine)
            self._check_unresolved(machine, now)
            self._check_notice(machine, now)
        for ref in [r for r, stop in self.stops.items() if now - stop.at > 60 or self.book.get(r.job) is None]:
            del self.stops[ref]

    def _reportless(self, machine: Machine, now: Mono) -> float:
        """For how long no report has come, beyond what a new holder must grant workers to find it."""
        return now - max(machine.reported_at, machine.since, Mono(self.since + SEARCH_S))

    def _check_mute(self, machine: Machine, now: Mono) -> None:
        """Direct commands reach it, and its reports reach nobody: no answer renews its lease, which ends its tasks.
        What can be saved is saved before that; then it is lost, and its release proves its tasks gone. Where no
        release is to be had, its next session does."""
        without = self._reportless(machine, now)
        if machine.health is not Health.QUIET or machine.heard_at <= machine.reported_at or (
            without < max(MUTE_PART * self._limits.lease_s, MUTE_REPORTS * self._limits.report_s)
        ):
            return
        if self._deaf_since(now):
            return  # nobody's reports come: it may be us
        saving = [
            (ref, view.record.spec.save_s) for view in self.book.on(machine.id) if view.record.spec.checkpoint_s > 0
            for ref in self.placed_refs(view.record, machine.id)
            if ref in machine.tasks and machine.tasks[ref].state in ("running", "saving")
        ]
        for ref, save_s in saving:
            self.stop(ref, machine, save_s + 1.0, "mute")
        if saving and without < self._limits.lease_s:
            return
        self._lose(machine, now, f"mute, no report for {without:.1f} s: lost")
        self._evict_absent(machine, "mute")

    def _lose(self, machine: Machine, now: Mono, why: str) -> None:
        """Has it released, unless so many are lost that it may be us."""
        lost = sum(1 for m in self.machines.values() if m.lost_since is not None and m is not machine)
        if lost < max(2, 0.6 * len(self.machines)):
            if machine.lost_since is None:
                log.info("machine %s: %s", machine.id, why)
            machine.lost_since = now
            self._kick()  # the leader should hear of it in the next round

    def _evict_absent(self, machine: Machine, why: str) -> None:
        """Its newest report shows that its tasks are gone, and no start can be on its way to it any more: they are
        placed elsewhere."""
        refs = [ref for view in self.book.on(machine.id) for ref in self.placed_refs(view.record, machine.id)]
        if refs and not any(ref in machine.tasks or machine.may_start_late(ref) for ref in refs):
            self._evict(machine.id, why)

    def _taint(self, machine: Machine, silent: float) -> None:
        if machine.health is Health.UNHEARD and not self.book.on(machine.id):
            return  # it never came up, and nothing is on it
        machine.move(Health.TAINTED, f"silent for {silent:.1f} s, lease run out")
        machine.fenced = False
        self._kick()

    def _probe(self, machine: Machine) -> None:
        """Asks a silent machine directly; without an answer it is lost, and its release proves its tasks
        gone sooner than its lease does."""
        if machine.probing or machine.pushing or not machine.addr:
            return
        if machine.lost_since is not None and self.clock.mono() - machine.lost_since < ASK_AGAIN_S:
            return
        if self._probes >= MAX_PROBES:
            return
        machine.probing = True
        self._probes += 1
        task = asyncio.ensure_future(self._ask(machine))
        self._jobs_tasks.add(task)
        task.add_done_callback(self._jobs_tasks.discard)

    async def _ask(self, machine: Machine) -> None:
        asked = self.clock.mono()
        doubted = machine.health is Health.DOUBTED
        try:
            heard = await self._send(machine, [], PROBE_S)
        except Deposed:
            return
        finally:
            machine.probing = False
            self._probes -= 1
        now = self.clock.mono()
        if heard or heard is None or machine.proven or now - asked > PROBE_S + LATE_S:
            return  # it is there, or it is we who could not ask
        if self._deaf_since(asked) or (machine.heard_at > asked and not doubted):
            return  # it may be us who can't hear
        self._lose(machine, now, "{} for {:.1f} s and no answer: lost".format(
            "heard, but deaf" if doubted else "silent", asked - machine.heard_at))

    def _deaf_since(self, asked: Mono) -> bool:
        """While many machines should report, one of them would have since the question was sent. A report
        period's grace let a holder that had just been cut off from its workers release dozens that were well."""
        expected = sum(1 for m in self.machines.values() if m.health is Health.UP)
        grace = self._limits.report_s * max(0.0, 1 - PROBE_S * expected / (MANY * self._limits.report_s))
        return self.last_report_at < asked - grace

    def _check_unresolved(self, machine: Machine, now: Mono) -> None:
        for ref, (_, baton, since) in machine.unresolved.items():
            if baton == self.baton and now - since > UNRESOLVED_S and machine.heard_at > since and machine.proven:
                # It reports, so its lease won't end the matter: a new baton does.
                if not self.bump_wanted:
                    log.info("block %s: orders for %s on %s may come late: new baton wanted",
                             self.zone, ref.name, machine.id)
                self.bump_wanted = True
                return

    def _check_notice(self, machine: Machine, now: Mono) -> None:
        """The cloud takes it away: tasks that can save do, in time; the others go on while they can."""
        faulty = self._returning.why(machine.id) not in (None, "idle")
        if machine.ends_at is None and not faulty:
            return
        left = 0.0 if machine.ends_at is None else machine.ends_at - now
        for view in self.book.on(machine.id):
            spec = view.record.spec
            can_save = spec.checkpoint_s > 0
            lead = spec.save_s + 1.0 + self._limits.report_s if can_save else self._limits.report_s * 0.6
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
            if self.book.load(machine.id).cpus + least_cpus > kind.cpus + TINY:
                continue  # full for this round: under a backlog most are
            if machine.id in self._returning or self.faulty(machine) or machine.id in self._packing.emptying:
                continue
            result.append(self._rooming.room(machine.id, self.zone, kind, machine.spot, machine.known_images))
        return Rooms(result, least_cpus)

    def place(self, turns: list[Turn], headroom: Headroom) -> None:
        """Places what is allotted to this zone, in order."""
        if not self._may_start() or self.deposed:
            return
        now = self.clock.mono()
        arrays_too = now - self._arrays_at >= min(LONGEST_ARRAYS_S, ARRAYS_S * len(self.machines))
        if arrays_too:
            self._arrays_at = now
            self._arrays = sum(1 for t in turns if not t.record.spec.service and t.record.placed(self.zone))
        wanting: list[tuple[Turn, JobView]] = []
        for turn in turns:
            view = self.book.get(turn.record.id)
            if view is None or not view.staged.missing_count():
                continue
            if not arrays_too and not view.record.spec.service and RANKS[view.record.spec.rank] > RANKS["urgent"]:
                continue
            turn.record = view.staged  # as it is by now: the leader may have allotted it in this same round
            if turn.record.allot.get(self.zone, 0) > turn.record.placed(self.zone):
                wanting.append((turn, view))
        self._short = False
        if not wanting:
            return  # most rounds: no look at hundreds of machines for nobody
        rooms = self.rooms(min(turn.record.spec.cpus for turn, _ in wanting))
        spare = headroom.reserve(rooms, self.zone, self.clock.wall())
        waiting: list[tuple[Turn, int]] = []
        for turn, view in wanting:
            try:
                left = self._place_job(view, turn, rooms, spare, headroom.serves(turn.record.spec), now)
            except Exception:
                # One job that meets a fault of ours must not keep all others waiting.
                log.exception("job %s can't be placed", view.id)
                continue
            if left > 0:
                waiting.append((turn, left))
        self._short = any(turn.record.spec.service for turn, _ in waiting)
        Preemption(self, turns).run(waiting, headroom.serves)

    def _place_job(self, view: JobView, turn: Turn, rooms: Rooms, spare: Rooms, ready: bool, now: Mono) -> int:
        """Places what there is room for; returns how many tasks lack it. `spare`: the rooms less what is
        kept ready for others; `ready`: this job is one of those."""
        record = turn.record
        spec = record.spec
        most = min(record.allot.get(self.zone, 0) - record.placed(self.zone), record.missing_count())
        if most <= 0 or self.back_off.get(record.id, 0.0) > now or view.planned("place"):
            return 0
        if spec.gang and (record.runs or most < record.missing_count()):
            self._gather(view)  # what is left of it stops, then it starts again whole
            return 0
        most_runs = self._runs_left(record)
        if most_runs <= 0:
            return 0  # the record is as large as it may get; it goes on as tasks end
        usable, others = (rooms, spare) if ready else (spare, rooms)
        if spec.gang and usable.free(spec, self.zone, most, turn.pressing) < most:
            return most
        bad = self.errors.get(record.id, {})
        allowed = (lambda room: room.machine not in bad) if 0 < len(bad) < 3 else None
        placements = usable.fill(record, self.zone, most if spec.gang else min(most, 400), turn.pressing, allowed)
        if len(placements) > most_runs and not spec.gang:
            # The fullest pieces: a record over the limit would be refused whole, again and again.
            placements = sorted(placements, key=lambda p: -p.count)[:most_runs]
        for placement in placements:
            occupy(others.by_name[placement.machine], spec, placement.count)
        if placements:
            log.debug("place %s: %s", record.id, " ".join(f"{p.machine}x{p.count}" for p in placements))
            self._change(view, records.place(placements, record.next), Urgency.PLACE, plan="place")
        return most - sum(p.count for p in placements)

    def _runs_left(self, record: JobRecord) -> int:
        """On how many more machines tasks may be placed before the record is as large as a value may be."""
        if len(record.runs) + record.missing_count() <= SAFE_RUNS:
            return SAFE_RUNS
        return int((self._limits.value_bytes * 0.85 - json_size(record)) / BYTES_A_RUN)

    def pack(self, headroom: Headroom) -> None:
        if self._may_start() and not self.deposed:
            self._packing.run(headroom, self._short)

    def _gather(self, view: JobView) -> None:
        """A gang that lost a member: its other members save and stop."""
        for run in view.record.runs:
            machine = self.machines.get(MachineId(run.machine))
            if machine is not None:
                for index in numbers(run.tasks):
                    ref = TaskRef(view.id, index, run.attempt)  # type: ignore[arg-type]
                    self.stop(ref, machine, view.record.spec.save_s + 1.0, "gang lost a member")

    def settle_evictions(self) -> None:
        """Drops eviction entries whose replacements are healthy, or that are too old."""
        now = self.clock.wall()
        for view in self.book.jobs.values():
            entries = view.staged.evictions
            if not entries or view.pending:
                continue
            newest = max(entry.since_attempt for entry in entries)
            healthy = view.record.missing_count() == 0 and all(
                self.is_running(TaskRef(view.id, index, run.attempt), run.machine)  # type: ignore[arg-type]
                for run in view.record.runs
                if run.attempt >= newest and run.zone == self.zone
                for index in numbers(run.tasks)
            )
            if healthy or any(now - e.at >= self._limits.eviction_limit_ms for e in entries):
                self._change(view, records.settle(healthy, now, self._limits.eviction_limit_ms), Urgency.DONE, 1.0)

    def is_running(self, ref: TaskRef, machine: str) -> bool:
        found = self.machines.get(MachineId(machine))
        return found is not None and ref in found.tasks and found.tasks[ref].state == "running"

    def former_gone(self) -> None:
        """All who held the block before are known to have ended by now: what they answered was
        answered before this moment. Said once; later calls change nothing."""
        if self.former_ended:
            return
        self.former_ended = True
        gone_at = Mono(self.clock.mono() + self._limits.lease_s * 1.002 + 0.5)
        if gone_at < self.unfenced_gone_at:
            log.info("block %s: former holders have ended", self.zone)
            self.unfenced_gone_at = gone_at

    def rebaton(self, baton: Baton) -> None:
        """Our own grant under a new stamp: nobody else answered in between."""
        log.info("block %s: baton %d -> %d", self.zone, self.baton, baton)
        self.baton = baton
        self.own_batons.add(baton)
        self.bump_wanted = False

    def close(self) -> None:
        for task in self._jobs_tasks:
            task.cancel()
