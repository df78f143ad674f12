"""One controller: everything wired together at the rim, where clock, network and chance come in."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Coroutine, Iterator
from typing import Any

from cloverplank.api.submission import Submissions
from cloverplank.api.users import JOBS_PATH, Users
from cloverplank.api.waiting_jobs import WaitingJobAnswers
from cloverplank.basic_types import Clock, FencingToken, JobId, Mono, NodeId, Zone
from cloverplank.fleet.cloud import Cloud, CloudDown
from cloverplank.fleet.dependency_sweep import DependencySweep
from cloverplank.fleet.holder import Block, Limits
from cloverplank.fleet.leader import Leader
from cloverplank.fleet.machines import Health, Machine
from cloverplank.fleet.peer_hints import PeerHints
from cloverplank.fleet.report_front import ReportFront
from cloverplank.fleet.returning import Returning, is_return
from cloverplank.fleet.roster import Roster
from cloverplank.jobs.headroom import Headroom
from cloverplank.jobs.limits import Limit
from cloverplank.jobs.placing import Targets, Turn, in_order
from cloverplank.jobs.record_space import RecordSpace
from cloverplank.jobs.records import Phase
from cloverplank.jobs.store import CachedJob, JobStore
from cloverplank.load import LoadMeter, NoMeter, Part
from cloverplank.net.messages import Http, Request, Response, answer
from cloverplank.settings.operator import Operator
from cloverplank.settings.platform import Platform, contact_bound
from cloverplank.state import keys
from cloverplank.state.client import Budget, Lost, Refused, StateClient, Unknown
from cloverplank.state.fresh import Fresh
from cloverplank.state.keys import BlockRecord
from cloverplank.state.mirror import Mirror
from cloverplank.state.queue import CommitQueue, Full, Urgency
from cloverplank.state.session import Session, Standing
from cloverplank.state.shares import RateShares, first_watch_gap
from cloverplank.wire.cloud import MachineType, MachineTypes
from cloverplank.wire.statesvc import Commit, Condition, Put
from cloverplank.wire.users import ErrorAnswer
from cloverplank.wire.workers import REPORT_PATH

log = logging.getLogger("cloverplank.controller")

BYTES_A_KB = 1024
LEAST_BURST = 6.0  # changes that a controller with a small share may make at once: the jobs of a chain come together
ROUND_S = 0.05  # between two rounds of decisions at the least
IDLE_ROUND_S = 0.25  # and at the most
ROUND_CORES = 0.036  # of a whole core that rounds may take: the work in them does not shrink with the share of a core
MOST_ROUND_PART = 0.25  # of the own share that rounds may take at the most: reports and leases come first
STILL_S = 1.0  # between two rounds while nothing has changed: only clocks are looked at in between
NOTE_S = 0.1  # between two notes of the own machines in the roster
DECLINE_GRANTS_S = 20.0
REINSTATE_S = 0.1  # contact must be later than a deposition by this much before it is taken back
WELL_PEER_S = 3.0  # a hint not older than this says that a peer is well
SOONEST_ROOM_S = 10.0  # what may wait longer is not worth room kept ready: room comes by itself, or a machine boots
TAKEOVER_S = 8.0  # a new holder that hears nobody for this long lets its block go
WATCH_LEASES = 0.375  # of the controller's lease that a watch without news waits at the most


class Controller:
    def __init__(
        self,
        platform: Platform,
        operator: Operator,
        clock: Clock,
        http: Http,
        chance: random.Random,
        meter: LoadMeter | None = None,
    ) -> None:
        self._meter = meter or NoMeter()
        facts = platform.facts
        state_limits = facts.state.lowest()
        self.platform = platform
        self.operator = operator
        self._clock = clock
        self._http = http
        self._chance = chance
        self.me = NodeId(platform.label)
        self.zones = [Zone(z) for z in facts.zones]
        count = 1 + len(platform.peers)
        self.client = StateClient(
            http,
            platform.outside.state,
            clock,
            Budget(state_limits.rps / count, clock),
            Budget(state_limits.write_rps / count, clock, least=LEAST_BURST),
        )
        self.store = JobStore()
        self.mirror = Mirror(self.client, self.store, clock, first_watch_gap(state_limits, count))
        space = RecordSpace(
            int(facts.state.value_kb * BYTES_A_KB),
            int(state_limits.value_kb * BYTES_A_KB),
            self.mirror.compact_allowed,
        )
        self.queue = CommitQueue(self.client, self.mirror, clock, space)
        self.fresh = Fresh(self.client, self.mirror, clock, state_limits.txn_ops)
        workers = facts.workers
        hold_on_s = contact_bound(
            workers.cancel_s, workers.lease_s, operator.hold_on_margin_s, operator.controller_lease_s
        )
        # No longer than the bound, or a lease that is good by the clock would lift it.
        own_lease_s = min(operator.controller_lease_s, hold_on_s)
        self.mirror.wait_s = min(self.mirror.wait_s, own_lease_s * WATCH_LEASES)
        self.session = Session(
            self.me,
            Zone(platform.location),
            self.client,
            self.mirror,
            clock,
            own_lease_s,
            hold_on_s,
        )
        self.limits = Limits(
            report_s=workers.report_s,
            lease_s=workers.lease_s,
            hold_on_s=hold_on_s,
            taint_after_s=operator.taint_after_s or max(3 * workers.report_s, workers.lease_s),
            quiet_after_s=operator.no_new_after_reports * workers.report_s,
            space=space,
            write_rps=state_limits.write_rps,
            eviction_limit_ms=int(operator.eviction_limit_s * 1000),
            faulty_errors=int(operator.faulty_errors),
            release_after_s=operator.release_silent_reports * workers.report_s,
        )
        self.guarantees = {t.name: (t.cpus, t.gpus) for t in facts.teams}
        self.most_cpus = {t.name: t.cpus_max for t in facts.teams}
        self.blocks: dict[Zone, Block] = {}
        self._bumped: dict[Zone, FencingToken] = {}
        # Grants to others by their leases, with the time at which each was last seen to stand.
        self._former: dict[Zone, dict[int, tuple[NodeId, Mono]]] = {z: {} for z in self.zones}
        self._began = clock.mono()
        self._round_part = min(MOST_ROUND_PART, ROUND_CORES / facts.machine_limits.cpu)
        self.roster = Roster(clock)
        self.returning = Returning(self.mirror)
        self.headroom = Headroom(
            {
                o.job_class
                for o in facts.objectives
                if o.kind == "wait" and o.job_class and o.within_s <= SOONEST_ROOM_S
            },
            operator.headroom_factor,
            operator.headroom_least_tasks,
        )
        within: dict[str, list[float]] = {}
        for o in facts.objectives:
            if o.kind == "finished" and o.within_s > 0:
                within.setdefault(o.job_class, []).append(o.within_s)
        self.targets = Targets(within, operator.patience, self.mirror.claims.of)
        self._types: dict[str, MachineType] = {}
        self._round_requested = asyncio.Event()
        self._noted_at = Mono(-1e9)
        self._tasks: set[asyncio.Task] = set()
        self.hints = PeerHints(
            platform,
            clock,
            http,
            chance,
            self.session,
            self.client,
            self.queue,
            self.store,
            self.roster,
            self.blocks,
        )
        self.reports = ReportFront(
            self.session, self.mirror, self.roster, self.hints, self.blocks, self._bumped, self.request_round
        )
        self.shares = RateShares(
            state_limits, self.zones, self.session, self.client, self.mirror, self.queue, self.hints.need_of
        )
        self.cloud = Cloud(http, platform.outside.cloud, clock, facts.cloud.rps)
        self.leader = Leader(
            platform,
            operator,
            clock,
            self.session,
            self.mirror,
            self.queue,
            self.roster,
            self.cloud,
            self.headroom,
            lambda: self._types,
            self.hints.received,
            self.targets,
            self.returning,
        )
        self.dependency_sweep = DependencySweep(clock, self.session, self.mirror, self.queue, self.fresh)
        waiting_jobs = WaitingJobAnswers(clock, self.mirror, self.queue, self.fresh, workers.cancel_s)
        submissions = Submissions(
            clock,
            self.client,
            self.mirror,
            self.queue,
            self.fresh,
            {t.name: Limit(t.cpus_max, t.gpus_max) for t in facts.teams},
            lambda: self._types,
            list(facts.zones),
            space.lowest_value_bytes,
            waiting_jobs,
        )
        self.users = Users(clock, self.client, self.mirror, self.queue, self.fresh, submissions, waiting_jobs)
        self.store.changed = self._job_changed
        self.store.fresh_at = lambda: self.mirror.fresh_at
        self.users.cancelled = self.hints.tell_cancelled
        self.mirror.changed = self._key_changed
        self.session.changed = self.request_round

    def request_round(self) -> None:
        self._round_requested.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- news

    def _job_changed(self, view: CachedJob | None, job: JobId) -> None:
        if view is not None:
            self.headroom.saw(view.record)
            for block in self.blocks.values():
                block.job_changed(view)
        self.request_round()

    def _key_changed(self, key: str) -> None:
        if key == keys.TYPES:
            found = self.mirror.value(keys.TYPES, MachineTypes)
            if found is not None:
                self._types = {t.name: t for t in found[0].types}
        elif is_return(key):
            for name in self.returning.news(key):
                self.roster.release(name)
                for block in self.blocks.values():
                    block.released(name)
        self.request_round()

    # -- what is served

    async def front(self, request: Request) -> Response:
        path = request.path
        if path == REPORT_PATH:
            if request.method != "POST":
                return answer(405, ErrorAnswer("POST only"), Allow="POST")
            with self._meter.section(Part.REPORTS):
                return self.reports.handle(request.body)
        if path == JOBS_PATH or path.startswith(JOBS_PATH + "/"):
            return await self._meter.metered(Part.USERS, self.users.handle(request))
        if path == "/ready":
            if request.method not in ("GET", "HEAD"):
                return answer(405, ErrorAnswer("GET only"), Allow="GET")
            return answer(200) if self.ready() else answer(503, ErrorAnswer("not ready"), Retry_After="1")
        return answer(404, ErrorAnswer("no such path"))

    def ready(self) -> bool:
        """Can take requests. In an outage of the state service for all, nobody else could either."""
        if not self._types or not self.mirror.loaded:
            return False
        if not self.client.down(2.5):
            return True
        hints = self.hints.all_latest()
        return bool(hints) and not any(hint.state_ok for hint in hints.values())

    async def peer(self, request: Request) -> Response:
        """The answer to another controller."""
        return await self._meter.metered(Part.HINTS, self.hints.handle(request))

    def cache_sizes(self) -> dict[str, int]:
        """Entries of what is kept in memory, by name."""
        return {
            "jobs": len(self.store.jobs),
            "waiting jobs": len(self.mirror.waiting.jobs),
            "final states": len(self.mirror.finals),
            "deleted keys": len(self.mirror.gone),
            "machines": len(self.roster.known),
            "own machines": sum(len(block.machines) for block in self.blocks.values()),
            "commits waiting": self.queue.waiting(),
        }

    # -- loops

    def _update_blocks(self) -> None:
        for zone in self.zones:
            token = self.session.grant(zone)
            block = self.blocks.get(zone)
            if block is not None and token != block.token:
                if token is not None and self._bumped.get(zone) == token:
                    block.renew_token(token)
                else:
                    log.info("block %s: let go, token was %d", zone, block.token)
                    block.close()
                    del self.blocks[zone]
                    block = None
            # Without all that former holders committed, their tasks would look like strays.
            if block is None and token is not None and self.mirror.revision >= token:
                self._take_block(zone, token)

    def _watch_former(self) -> None:
        """A controller that joined anew has ended its former process, or let its grant go: either way
        it answers no worker any more. Every holder that can still be going on without the state
        service has to have done so, not the last one alone.
        """
        now = self._clock.mono()
        reach = self.limits.hold_on_s + 5.0
        members = self.session.members()
        for zone, former in self._former.items():
            found = self.mirror.value(keys.block(zone), BlockRecord)
            if found is not None and found[0].lease != self.session.lease:
                former[found[0].lease] = (NodeId(found[0].node), now)
            for lease in [lease for lease, (_, seen) in former.items() if now - seen > reach]:
                del former[lease]
            block = self.blocks.get(zone)
            if block is None or now - self._began < reach:
                continue  # or this controller has not been here long enough to know them all
            if all(
                node == self.me or (node in members and members[node].lease != lease)
                for lease, (node, _) in former.items()
            ):
                block.former_gone()

    def _take_block(self, zone: Zone, token: FencingToken) -> None:
        log.info("block %s: taken, token %d", zone, token)
        block = Block(
            zone,
            token,
            self._clock,
            self.store,
            self.mirror,
            self.queue,
            self._http,
            self.limits,
            lambda: self._types,
            self.returning,
            lambda: self.session.check() is Standing.MEMBER and zone in self.blocks,
            self.request_round,
            self._meter,
        )
        self.blocks[zone] = block
        for known in self.roster.known.values():
            if known.zone == zone and known.state != "hired":
                block.adopt(known.id, known.addr, known.type, known.spot)
        self._spawn(self._fence(block))

    async def _fence(self, block: Block) -> None:
        """Shows our token to every worker that can be reached, a few at a time."""
        gate = asyncio.Semaphore(24)

        async def one(machine: Machine) -> None:
            async with gate:
                if not machine.fenced and not block.deposed:
                    await block.fence(machine)

        # Those heard last first: machines that are gone take a time limit each.
        heard = {known.id: known.heard_at or 0.0 for known in self.roster.known.values()}
        machines = sorted(block.machines.values(), key=lambda m: -heard.get(m.id, 0.0))
        await asyncio.gather(*(one(m) for m in machines), return_exceptions=True)

    def _note_own(self) -> None:
        """The own blocks' machines into the roster, as a peer's would come by hint."""
        now = self._clock.mono()
        # Others than the leader only need it for the day when they lead.
        if now - self._noted_at < (NOTE_S if self.session.leads() is not None else STILL_S):
            return
        self._noted_at = now
        for hint in self.hints.own_machines():
            self.roster.hinted(hint)

    def turns(self) -> list[Turn]:
        now = self._clock.wall()
        turns = in_order(
            (
                v.staged
                for v in self.store.jobs.values()
                if v.staged.phase is Phase.OPEN and not self.store.cancelled_by_hint(v.id)
            ),
            self.guarantees,
            self.most_cpus,
            now,
            self.mirror.claims.of,
        )
        for turn in turns:
            turn.pressing = turn.guaranteed or turn.overdue > 0 or self.targets.pressing(turn.record, now)
        return turns

    def _steps(self, news: bool) -> Iterator[None]:
        """One round, in steps between which requests are answered: in one piece, it held up submissions
        that come to a leader of hundreds of machines. Each step looks at things as they are by then."""
        self._update_blocks()
        self._watch_former()
        for block in self.blocks.values():
            block.check_machines()
        leads = self.session.leads() is not None
        if not news or not (leads or self.blocks):
            return
        yield
        self._note_own()
        turns = self.turns()
        if leads:
            with self._meter.section(Part.LEADER_ROUND):
                self.leader.round(turns)
        for block in list(self.blocks.values()):
            yield
            with self._meter.section(Part.PLACEMENT):
                block.place(turns, self.headroom)
            yield
            with self._meter.section(Part.PACKING):
                block.pack(self.headroom)
            block.settle_evictions()

    async def _round(self, news: bool) -> float:
        """Returns how long its own work took."""
        took = 0.0
        began = self._clock.mono()
        for _ in self._steps(news):
            took += self._clock.mono() - began
            await asyncio.sleep(0)
            began = self._clock.mono()
        return took + self._clock.mono() - began

    async def _rounds(self) -> None:
        full_at = Mono(-1e9)
        while True:
            try:
                async with asyncio.timeout(IDLE_ROUND_S):
                    await self._round_requested.wait()
            except TimeoutError:
                pass
            now = self._clock.mono()
            news = self._round_requested.is_set() or now - full_at >= STILL_S
            if news:
                full_at = now
            self._round_requested.clear()
            took = 0.0
            try:
                took = await self._round(news)
            except Exception:
                log.exception("round failed")
            await asyncio.sleep(max(ROUND_S, took * (1 / self._round_part - 1)))

    async def _govern(self) -> None:
        """Leadership, grants, tokens, and letting a block go that hears nobody."""
        while True:
            try:
                if self.mirror.loaded:
                    await self.session.seek_leadership()
                    await self.leader.grant_blocks()
                    await self.leader.announce_format()
                    for block in list(self.blocks.values()):
                        await self._tend(block)
                self.shares.update()
            except Exception:
                log.exception("governing failed")
            await asyncio.sleep(0.1 + 0.05 * self._chance.random())

    async def _tend(self, block: Block) -> None:
        if self.session.check() is not Standing.MEMBER:
            return
        if block.deposed and self.session.contact_at() > block.deposed_at + REINSTATE_S:
            if self.session.grant(block.zone) == block.token:
                block.reinstate()
            return
        if block.bump_wanted:
            block.bump_wanted = False
            key = keys.block(block.zone)
            assert self.session.lease is not None
            record = BlockRecord(block.zone, self.me, self.session.lease)
            try:
                result = await self.queue.commit(
                    Commit([Condition(key, block.token)], [Put(key, record, self.session.lease)]),
                    Urgency.LEASE,
                )
            except (Lost, Full):
                return
            if not result.failed:
                self._bumped[block.zone] = FencingToken(result.revision)
                self._update_blocks()
            return
        now = self._clock.mono()
        silent = now - max(block.last_report_at, block.since)
        # A new holder is found by its workers only after the former one stopped answering them.
        patience = max(3.5, 1.75 * self.limits.report_s) if block.last_report_at > block.since else TAKEOVER_S
        expected = sum(1 for m in block.machines.values() if m.health in (Health.UP, Health.SUSPECT))
        others = any(hint.state_ok and not hint.declines_grants for hint in self.hints.all_latest(WELL_PEER_S).values())
        if expected >= 2 and others and silent > patience:
            log.info("block %s: %d machines and not one report for %.1f s: giving it up", block.zone, expected, silent)
            self.session.declines_grants_until = Mono(now + DECLINE_GRANTS_S)
            await self.session.give_up(keys.block(block.zone))

    async def _learn_types(self) -> None:
        while True:
            pause = 60.0
            try:
                if not self._types or self.session.leads() is not None:
                    types = await self.cloud.types()
                    if types.types:
                        self._types = {t.name: t for t in types.types}
                        if self.session.leads() is not None:
                            # So that a controller that starts while the cloud is down knows them, too.
                            key = keys.TYPES
                            await self.queue.commit(
                                Commit([Condition(key, self.mirror.stamp(key))], [Put(key, types)]), Urgency.DONE
                            )
                        else:
                            pause = 5.0
            except (CloudDown, Lost, Full) as err:
                log.debug("machine types: %s", err)
                pause = 2.0
            await asyncio.sleep(pause if self._types else min(pause, 1.0))

    async def run(self) -> None:
        await asyncio.gather(
            self._meter.metered(Part.WATCH, self.mirror.run()),
            self.session.run(),
            self._meter.metered(Part.COMMITS, self.queue.run()),
            self._meter.metered(Part.ROUND, self._rounds()),
            self._govern(),
            self._learn_types(),
            self._meter.metered(Part.HINTS, self.hints.run()),
            self._meter.metered(Part.RENTING, self.leader.run()),
            self.dependency_sweep.run(),
        )


__all__ = ["Controller", "Refused", "Unknown"]
