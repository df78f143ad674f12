"""The leader: grants blocks, owns team limits and the split over zones, rents and returns machines."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from cloverplank.basic_types import Clock, MachineId, Mono, NodeId, Stamp, Zone
from cloverplank.jobs import limits as team_limits
from cloverplank.jobs import records
from cloverplank.jobs.headroom import Headroom
from cloverplank.jobs.limits import Limit, Shortage
from cloverplank.jobs.placing import GUESS, NO_TARGET_MS, TINY, Room, Rooms, Targets, Turn
from cloverplank.jobs.records import Phase
from cloverplank.jobs.store import JobStore, Pending
from cloverplank.settings.operator import Operator
from cloverplank.settings.platform import Platform
from cloverplank.state import keys
from cloverplank.state.client import Lost, Refused, Unknown
from cloverplank.state.keys import BlockRecord, FormatRecord, NodeRecord, RentalRecord, ReturnRecord
from cloverplank.state.mirror import Mirror
from cloverplank.state.queue import CommitQueue, Full, Urgency
from cloverplank.state.session import Session
from cloverplank.wire.cloud import MAX_RELEASE, ListedMachine, MachineType, RentRequest
from cloverplank.wire.peers import Hint
from cloverplank.wire.statesvc import Commit, Condition, Delete, Put

from . import renting
from .cloud import Cloud, CloudDown, NoCapacity
from .renting import Kind
from .returning import Returning
from .rooming import Rooming, room_of
from .roster import Known, Roster

log = logging.getLogger("cloverplank.leader")

LEAST_PAID_S = 58.0  # a machine costs a minute at the least, so one younger is kept
DRAIN_S = 0.5  # a placement on its way when a drain is committed shows within this time
MAX_RETURNS = 48  # begun in one look
RENTAL_KEPT_S = 60.0  # a rental at the most, beyond what the list lags
GONE_KEPT_S = 300.0  # late copies of its reports must not bring a machine back


class Leader:
    """Lives as long as the process; acts only while the session says that it leads."""

    def __init__(
        self,
        platform: Platform,
        operator: Operator,
        clock: Clock,
        session: Session,
        mirror: Mirror,
        queue: CommitQueue,
        roster: Roster,
        cloud: Cloud,
        headroom: Headroom,
        types: Callable[[], dict[str, MachineType]],
        peers: dict[NodeId, tuple[Hint, Mono]],
        targets: Targets,
        returning: Returning,
    ) -> None:
        self._platform = platform
        self._operator = operator
        self._clock = clock
        self._session = session
        self._mirror = mirror
        self._queue = queue
        self._store: JobStore = mirror.store
        self._roster = roster
        self._cloud = cloud
        self._headroom = headroom
        self._types = types
        self._peers = peers
        self._zones = {Zone(z): operator.weight(z) for z in platform.facts.zones}
        self._limits = {t.name: Limit(t.cpus_max, t.gpus_max) for t in platform.facts.teams}
        self._targets = targets
        self._returning = returning
        self._return_seq = 0
        self._unrecorded: set[MachineId] = set()  # released, and not yet committed as gone
        self.shortages: list[Shortage] = []
        self.needed: set[str] = set()
        self._refused: dict[Kind, Mono] = {}
        self._rental_seq = 0
        self._led: Stamp | None = None
        self._led_since = Mono(0.0)
        self._listed_at = Mono(-1e9)
        self._draining: dict[str, Mono] = {}
        self._rooming = Rooming(mirror.store)

    # -- grants

    async def announce_format(self) -> None:
        """Commits the format version that all controllers read, once every one of them shows it."""
        stamp = self._session.leads()
        if stamp is None or self._mirror.compact_allowed():
            return
        nodes = self._mirror.under(keys.NODES, NodeRecord)
        able = [record for record, _ in nodes.values() if record.format >= keys.FORMAT_VERSION]
        if len(able) < 1 + len(self._platform.peers):
            return
        key = keys.FORMAT
        conditions = [Condition(keys.LEADER, stamp), Condition(key, self._mirror.stamp(key))]
        put = Put(key, FormatRecord(keys.FORMAT_VERSION))
        try:
            answer = await self._queue.commit(Commit(conditions, [put]), Urgency.LEASE, once=True)
        except (Lost, Full, Refused, Unknown) as err:
            log.debug("format version: %s", err)
            return
        if not answer.failed:
            log.info("all %d controllers read format version %d", len(able), keys.FORMAT_VERSION)

    async def grant_blocks(self) -> None:
        stamp = self._session.leads()
        if stamp is None:
            self._led = None
            return
        if stamp != self._led:
            self._led, self._led_since = stamp, self._clock.mono()
        for zone in self._zones:
            key = keys.block(zone)
            if self._mirror.stamp(key):
                continue
            chosen = self._candidate(zone)
            if chosen is None:
                continue
            node, record, node_stamp = chosen
            conditions = [Condition(keys.LEADER, stamp), Condition(key, 0), Condition(keys.node(node), node_stamp)]
            put = Put(key, BlockRecord(zone, node, record.lease), record.lease)
            try:
                answer = await self._queue.commit(Commit(conditions, [put]), Urgency.LEASE, once=True)
            except (Lost, Full, Refused, Unknown) as err:
                log.debug("grant of %s to %s: %s", zone, node, err)
                continue
            if not answer.failed:
                log.info("grant: block %s to %s, token %d", zone, node, answer.revision)

    def _candidate(self, zone: Zone) -> tuple[NodeId, NodeRecord, Stamp] | None:
        now = self._clock.mono()
        found = []
        for name, (record, stamp) in self._mirror.under(keys.NODES, NodeRecord).items():
            node = NodeId(name)
            if node == self._session.me:
                if now < self._session.declines_grants_until:
                    continue
                heard, fresh = 0, True
            else:
                hint, at = self._peers.get(node, (None, Mono(-1e9)))
                fresh = hint is not None and now - at < 4.0
                if fresh and hint is not None and hint.declines_grants:
                    continue
                heard = hint.heard.get(zone, 0) if fresh and hint is not None else 0
            found.append((record.zone == zone, fresh, heard, node == self._session.me, node, record, stamp))
        if not found:
            return None
        best = max(found, key=lambda f: (f[0], f[1], f[3], f[2], f[4]))
        if not best[0] and now - self._led_since < 1.0:
            return None  # one in the zone may be about to join
        return best[4], best[5], best[6]

    # -- limits and the split

    def round(self, turns: list[Turn]) -> None:
        """Allots tasks to zones; remembers what lacks room."""
        stamp = self._session.leads()
        if stamp is None:
            return
        condition = [Condition(keys.LEADER, stamp)]
        others: dict[str, Limit] = {}
        for view in self._store.jobs.values():
            if view.staged.phase is not Phase.OPEN or self._store.cancelled_by_hint(view.id):
                spec, held = view.record.spec, view.held()
                have = others.get(spec.team, Limit(0.0, 0.0))
                others[spec.team] = Limit(have.cpus + held * spec.cpus, have.gpus + held * spec.gpus)
        totals = team_limits.totals(turns, lambda job: self._store.jobs[job].held(), self._limits, others)
        ready = self._headroom.turns(self._clock.wall())
        least = min((t.record.spec.cpus for t in [*ready, *turns] if t.record.missing_count()), default=0.0)
        rooms = self.rooms(least)
        shortages: list[Shortage] = []

        def rentable(zone: Zone) -> bool:
            now = self._clock.mono()
            return not any(k.zone == zone and now < until for k, until in self._refused.items())

        # Room is kept ready before work beyond guarantees gets any: a backlog of such work would
        # otherwise fill whatever is rented for the headroom, and it would be rented for ever.
        kept = False
        for turn in turns:
            if not kept and not turn.guaranteed and not turn.overdue and not self._headroom.serves(turn.record.spec):
                kept = True
                shortages += self._keep_room(ready, rooms, rentable)
            record = turn.record
            if not record.missing_count():
                continue  # all it wants is placed
            view = self._store.jobs[record.id]
            try:
                allotment, short = team_limits.split(turn, totals[view.id], self._zones, rooms, rentable)
            except Exception:
                # One job that meets a fault of ours must not keep all others waiting.
                log.exception("job %s can't be split", view.id)
                continue
            shortages += short
            if not team_limits.covered(record, allotment) and not view.planned("allot", "place"):
                pending = Pending(
                    records.allot(allotment), int(Urgency.PLACE), self._clock.mono(), condition, plan="allot"
                )
                self._queue.change(view, pending)
        if not kept:
            shortages += self._keep_room(ready, rooms, rentable)
        self.shortages = shortages
        self.needed = {room.machine for room in rooms if room.used}

    def _keep_room(self, ready: list[Turn], rooms: Rooms, rentable: Callable[[Zone], bool]) -> list[Shortage]:
        shortages: list[Shortage] = []
        for turn in ready:
            shortages += team_limits.split(turn, turn.record.spec.tasks, self._zones, rooms, rentable)[1]
        return shortages

    def rooms(self, least_cpus: float = 0.0) -> Rooms:
        types = self._types()
        result: list[Room] = []
        for known in self._roster.known.values():
            kind = types.get(known.type)
            if kind is None or self._store.load(known.id).cpus + least_cpus > kind.cpus + TINY:
                continue
            if not self._usable(known):
                continue
            room = self._rooming.room(known.id, known.zone, kind, known.spot, known.images)
            room.real = known.health in ("up", "unheard") if known.heard_at is not None else known.state == "running"
            result.append(room)
        for name, (rental, _) in self._mirror.under(keys.RENTALS, RentalRecord).items():
            kind = types.get(rental.type)
            if kind is None or rental.machines:
                continue
            for number in range(rental.count):
                machine = MachineId(f"{name}#{number}")
                result.append(
                    room_of(machine, Zone(rental.zone), kind, rental.spot, frozenset(), self._store, real=False)
                )
        return Rooms(result, least_cpus)

    def _usable(self, known: Known) -> bool:
        if known.id in self._returning or known.ends or known.state == "failed":
            return False
        return known.health in ("", "up", "unheard", "quiet")

    # -- renting

    def _pause(self, kind: Kind) -> None:
        self._refused[kind] = Mono(self._clock.mono() + self._operator.refused_pause_s)

    def _is_refused(self, kind: Kind) -> bool:
        return self._clock.mono() < self._refused.get(kind, Mono(-1e9))

    def _costly(self) -> Callable[[Shortage], int]:
        """How many of a job's tasks may take ordinary machines in the place of spot ones. Worked out when first
        asked: while spot machines are to be had nobody asks, and it takes a look at all machines."""
        allowed: dict[int, int] | None = None

        def of(shortage: Shortage) -> int:
            nonlocal allowed
            if allowed is None:
                allowed = self._ordinary_allowed()
            return allowed.get(id(shortage), 0)

        return of

    def _ordinary_allowed(self) -> dict[int, int]:
        """By shortage, the tasks that the machines there are can't do before the job is late, after all that goes
        before it.

        A guarantee alone is no reason: a machine boots for longer than such work should wait, which
        is what preemption is for. What is rented does several tasks one after another.
        """
        capacity, running = self._array_capacity()
        queued = dict.fromkeys(self._zones, 0.0)
        allowed: dict[int, int] = {}
        for shortage in self.shortages:
            record, zone = shortage.turn.record, shortage.zone
            spec = record.spec
            length = spec.estimate_s * GUESS
            work = spec.cpus * length
            now = self._clock.wall()
            # What is rented now is up after a boot; for a target sooner than that it comes too late.
            left = next((left for left in self._targets.lefts(record, now) if left > self._boot_s()), None)
            if shortage.turn.headroom or spec.service or work <= 0:
                allowed[id(shortage)] = 0
            elif left is None:
                # Late, or nobody waits for it; but it must run, if nothing there is can ever take it.
                stuck = now - record.at > NO_TARGET_MS and sum(capacity[zone]) < max(1.0, spec.cpus)
                allowed[id(shortage)] = int(stuck)
            else:
                before = queued[zone] + sum(w for r, w in running[zone].items() if r <= shortage.turn.rank)
                soon = capacity[zone][0] * left + capacity[zone][1] * (left - self._boot_s())
                done = int(max(0.0, soon * self._operator.trusted_capacity - before) / work)
                turns = max(1.0, (left - self._boot_s()) / length)
                allowed[id(shortage)] = math.ceil(max(0, shortage.tasks - done) / turns)
            queued[zone] += work * shortage.tasks
        return allowed

    def _boot_s(self) -> float:
        return max((kind.boot_s for kind in self._types().values()), default=30.0)

    def _array_capacity(self) -> tuple[dict[Zone, list[float]], dict[Zone, dict[int, float]]]:
        """Cpus that arrays can use on what is up and on what boots, and by rank the work of those
        that run there, in cpu seconds."""
        capacity = {zone: [0.0, 0.0] for zone in self._zones}
        running: dict[Zone, dict[int, float]] = {zone: {} for zone in self._zones}
        types = self._types()
        for known in self._roster.known.values():
            kind = types.get(known.type)
            if kind is None or known.zone not in capacity or not self._usable(known):
                continue
            boots = known.heard_at is None
            capacity[known.zone][boots] += kind.cpus
            for view in self._store.on(known.id):
                spec = view.staged.spec
                cpus = spec.cpus * view.staged.placed_on(known.id)
                if spec.service:
                    capacity[known.zone][boots] -= cpus
                else:
                    rank = self._mirror.claims.of(view.staged).rank
                    work = running[known.zone].get(rank, 0.0)
                    running[known.zone][rank] = work + cpus * spec.estimate_s * 0.5
        return capacity, running

    async def rent(self) -> None:
        """One round of renting. Names come from the leader's stamp, so none is ever used twice."""
        stamp = self._session.leads()
        if stamp is None:
            return
        for name, (rental, _) in self._mirror.under(keys.RENTALS, RentalRecord).items():
            if self._clock.wall() - rental.at > 1000 * max(RENTAL_KEPT_S, 6 * self._platform.facts.cloud.list_lag_s):
                # Long over: what came of it is in the list. A late copy of its transaction opened it again.
                await self._write([Delete(keys.rental(name))])
            elif not rental.machines:
                await self._call(name, rental)  # begun by a former leader, or not answered
            elif all(self._is_known(m) for m in rental.machines):
                await self._write([Delete(keys.rental(name))])
        if not self.shortages:
            return
        most = int(self._operator.rent_limit) - len(self._roster.known)
        wants = renting.wants(self.shortages, self._types(), self._is_refused, self._costly(), most)
        for want in wants[:2]:
            self._rental_seq += 1
            name = f"r-{stamp}-{self._rental_seq}"
            rental = RentalRecord(want.kind.type, want.kind.zone, want.kind.spot, want.count, self._clock.wall())
            log.info(
                "rent %s: %d %s in %s, %s",
                name,
                want.count,
                want.kind.type,
                want.kind.zone,
                "spot" if want.kind.spot else "ordinary",
            )
            if not await self._write([Put(keys.rental(name), rental)]):
                return
            await self._call(name, rental)

    def _is_known(self, machine: str) -> bool:
        known = self._roster.known.get(MachineId(machine))
        gone = MachineId(machine) in self._roster.left
        return gone or (known is not None and (known.listed_at is not None or known.heard_at is not None))

    async def _call(self, name: str, rental: RentalRecord) -> None:
        kind = Kind(rental.type, Zone(rental.zone), rental.spot)
        try:
            machines = await self._cloud.rent(RentRequest(name, rental.type, rental.zone, rental.spot, rental.count))
        except NoCapacity:
            spot = "spot" if rental.spot else "ordinary"
            log.info("rent %s: no capacity for %s in %s, %s", name, rental.type, rental.zone, spot)
            self._pause(kind)
            await self._write([Delete(keys.rental(name))])
            return
        except CloudDown as err:
            log.info("rent %s: no answer: %s", name, err)
            if self._clock.wall() - rental.at > 30_000:
                # If it is carried out late, its machines show up in list and reports.
                await self._write([Delete(keys.rental(name))])
            return
        log.info("rent %s: got %s", name, " ".join(machines))
        if len(machines) < rental.count:
            self._pause(kind)
        for machine in machines:
            self._roster.hired(machine, rental.zone, rental.type, rental.spot)
        if machines:
            done = RentalRecord(rental.type, rental.zone, rental.spot, rental.count, rental.at, machines)
            await self._write([Put(keys.rental(name), done)])
        else:
            await self._write([Delete(keys.rental(name))])

    async def _write_all(self, changes: list[Put | Delete]) -> bool:
        """In as many commits as it takes."""
        size = max(1, self._platform.facts.state.lowest().txn_ops)
        for start in range(0, len(changes), size):
            if not await self._write(changes[start : start + size]):
                return False
        return True

    async def _write(self, changes: list[Put | Delete]) -> bool:
        """Each key as it is known now: a copy that is carried out late, after newer changes of the same leader, must
        not bring back a rental that is over or a machine that is gone."""
        stamp = self._session.leads()
        if stamp is None:
            return False
        known = [Condition(key, self._mirror.stamp(key)) for key in dict.fromkeys(c.key for c in changes)]
        try:
            answer = await self._queue.commit(Commit([Condition(keys.LEADER, stamp), *known], changes), Urgency.PLACE)
        except (Lost, Full, Refused, Unknown):
            return False
        return not answer.failed

    # -- the list, and returning

    async def look(self) -> None:
        """Reads the cloud's list. Machines that nobody knows are adopted by being known now."""
        if self._session.leads() is None:
            return
        for _, (rental, _) in self._mirror.under(keys.RENTALS, RentalRecord).items():
            for machine in rental.machines:
                self._roster.hired(machine, rental.zone, rental.type, rental.spot)
        try:
            machines: dict[str, ListedMachine] = await self._cloud.machines()
        except CloudDown as err:
            log.debug("list: %s", err)
            return
        self._roster.listed(machines, self._platform.facts.cloud.list_lag_s)
        self._listed_at = self._clock.mono()

    def returns(self) -> list[tuple[Known, str]]:
        """Machines to give back, and why."""
        now = self._clock.mono()
        types = self._types()
        result = []
        for known in self._roster.known.values():
            busy = bool(self._store.on(known.id)) or known.id in self.needed
            if busy or known.idle_since is None:
                known.idle_since = None if busy else now
            kind = types.get(known.type)
            boot_s = kind.boot_s if kind else 60.0
            age = now - known.since
            silent = math.inf if known.heard_at is None else now - known.heard_at
            if known.id in self._returning:
                continue
            idle_s = self._operator.idle_release_spot_s if known.spot else self._operator.idle_release_s
            if known.state == "failed":
                result.append((known, "failed"))
            elif known.health == "faulty":
                result.append((known, "faulty"))
            elif known.heard_at is None and age > max(60.0, self._operator.never_up_factor * boot_s):
                result.append((known, "never up"))
            elif known.heard_at is not None and silent > 50.0:
                result.append((known, "silent"))
            elif (
                known.idle_since is not None
                and now - known.idle_since >= idle_s
                and age >= LEAST_PAID_S
                and known.heard_at is not None
                and not known.ends
            ):
                result.append((known, "idle"))
        return result

    async def return_machines(self) -> None:
        if self._session.leads() is None:
            return
        await self._record_gone()
        # What its holder calls lost is released at once: the answer proves its tasks gone.
        lost = [known.id for known in self._roster.known.values() if known.health == "lost"]
        if lost:
            log.info("return: lost: %s", " ".join(lost))
            await self._release(lost[:MAX_RELEASE])
        if self._clock.mono() - self._led_since < 6.0:
            return  # a new leader first hears from list, holders and workers
        found = self.returns()[:MAX_RETURNS]
        for known, why in found:
            log.info("return: machine %s: %s", known.id, why)
        if found:
            await self._write(
                [Put(self._return_key(), ReturnRecord(self._clock.wall(), {known.id: why for known, why in found}))]
            )
        ready = self._drained()
        await self._write_all(self._left_over())
        if ready:
            await self._release(ready[:MAX_RELEASE])

    def _return_key(self) -> str:
        self._return_seq += 1
        return keys.returns(f"{self._session.leads()}-{self._return_seq}")

    def _drained(self) -> list[MachineId]:
        now = self._clock.mono()
        ready = []
        for batch in self._returning.batches().values():
            for name, why in batch.draining.items():
                since = self._draining.setdefault(name, now)
                busy = bool(self._store.on(MachineId(name)))
                if (
                    now - since >= DRAIN_S
                    and (not busy or why in ("failed", "silent", "never up") or now - since > 40)
                    and not (busy and why == "idle")
                ):
                    ready.append(MachineId(name))
        return ready

    def _left_over(self) -> list[Put | Delete]:
        """Batches without what is busy again, and those that nobody needs any more."""
        changes: list[Put | Delete] = []
        for key, batch in self._returning.batches().items():
            # Placed in the same moment: it stays.
            stays = {n for n, why in batch.draining.items() if why == "idle" and self._store.on(MachineId(n))}
            for name in stays:
                self._draining.pop(name, None)
            left = {name: why for name, why in batch.draining.items() if name not in stays}
            if not left and self._clock.wall() - batch.at > GONE_KEPT_S * 1000:
                changes.append(Delete(key))
            elif stays:
                changes.append(Put(key, ReturnRecord(batch.at, left, batch.gone)))
        return changes[:MAX_RETURNS]

    async def _release(self, names: list[MachineId]) -> None:
        try:
            await self._cloud.release(names)
        except CloudDown as err:
            log.info("release of %s: %s", " ".join(names), err)
            return
        log.info("released %s", " ".join(names))
        for name in names:
            self._roster.release(name)
            self._draining.pop(name, None)
        self._unrecorded.update(names)
        await self._record_gone()

    async def _record_gone(self) -> None:
        """Tells everybody what is gone; again, where that could not be committed."""
        if not self._unrecorded:
            return
        now = self._clock.wall()
        changes: list[Put | Delete] = []
        left = set(self._unrecorded)
        for key, batch in self._returning.batches().items():
            gone = left & batch.draining.keys()
            if gone:
                left -= gone
                draining = {name: why for name, why in batch.draining.items() if name not in gone}
                changes.append(Put(key, ReturnRecord(now, draining, sorted([*batch.gone, *gone]))))
        gone_names: list[str] = sorted(left)
        for at in range(0, len(gone_names), MAX_RETURNS):
            changes.append(Put(self._return_key(), ReturnRecord(now, {}, gone_names[at : at + MAX_RETURNS])))
        written = set(self._unrecorded)
        if await self._write_all(changes):
            self._unrecorded -= written

    async def run(self) -> None:
        turn = 0
        while True:
            try:
                if turn % 4 == 0:
                    await self.look()
                await self.rent()
                await self.return_machines()
            except Exception:
                log.exception("renting failed")
            turn += 1
            await asyncio.sleep(0.5)
