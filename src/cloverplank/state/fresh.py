"""Fresh reads of jobs, coalesced: one comparison answers for all jobs that are asked about at once.

What one controller has told a user must not be taken back by another, so nothing but a final
state is answered from the mirror alone.
"""

from __future__ import annotations

import asyncio

from cloverplank.jobs.records import FinalRecord, JobRecord, Phase
from cloverplank.kinds import Clock, JobId, Stamp
from cloverplank.wire.codec import BadMessage, decode
from cloverplank.wire.statesvc import Commit, Condition

from . import keys
from .client import Refused, StateClient, Unknown
from .mirror import Mirror

LONGEST_GATHER_S = 0.25
COMPARE_S = 0.9  # users wait two seconds for an answer
MAX_READS = 24  # for one comparison; the others of it are asked about again
Found = JobRecord | Phase | None


class Fresh:
    def __init__(self, client: StateClient, mirror: Mirror, clock: Clock, txn_ops: int) -> None:
        self._client = client
        self._clock = clock
        self._mirror = mirror
        self._batch = max(1, txn_ops * 4 // 2)
        self._asked: dict[JobId, asyncio.Future] = {}
        self._busy = 0
        self._tasks: set[asyncio.Task] = set()

    async def job(self, job: JobId) -> Found:
        """The job as it is now. Raises Refused or Unknown without the state service."""
        final = self._mirror.final(job)
        if final is not None:
            return final
        future = self._asked.get(job)
        if future is None:
            if len(self._asked) > 2000:
                raise Refused("too many questions")
            future = self._asked[job] = asyncio.get_running_loop().create_future()
            if self._busy < 2:
                self._busy += 1
                task = asyncio.ensure_future(self._work())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(future)

    async def _work(self) -> None:
        try:
            await asyncio.sleep(0.002)  # gathers what comes at the same moment
            while self._asked:
                # Over its share of requests it gathers for longer, and asks for more jobs at once.
                wait = self._client.requests.wait()
                if wait > 0:
                    await asyncio.sleep(min(LONGEST_GATHER_S, wait))
                batch = dict(list(self._asked.items())[: self._batch])
                for job in batch:
                    del self._asked[job]
                try:
                    await self._answer(batch)
                except Exception as err:
                    for future in batch.values():
                        if not future.done():
                            future.set_exception(err)
                            future.exception()
        finally:
            self._busy -= 1

    async def _answer(self, batch: dict[JobId, asyncio.Future]) -> None:
        if self._client.down():
            raise Refused("down")
        seen = {job: self._mirror.book.get(job) for job in batch}
        records = {job: view.record for job, view in seen.items() if view is not None}
        conditions = []
        for job, view in seen.items():
            conditions.append(Condition(keys.job(job), Stamp(0) if view is None else view.stamp))
            if view is None:
                conditions.append(Condition(keys.final(job), 0))
        asked = self._clock.mono()
        try:
            answer = await self._client.compare(Commit(conditions), COMPARE_S)
            failed = set(answer.failed)
        except Unknown:
            if self._client.answered_at < asked:
                raise
            # Other requests are answered: it is a transaction that is held up. Those asked about are read one by one.
            failed = {condition.key for condition in conditions}
        reads = 0
        for job, future in batch.items():
            try:
                # One that can't be read must not leave the others without an answer.
                if keys.job(job) in failed or keys.final(job) in failed:
                    reads += 1
                    if reads > MAX_READS:
                        raise Refused("too many questions at once")
                    found = await self._read(job)
                else:
                    found = records.get(job)
            except (Refused, Unknown) as err:
                if not future.done():
                    future.set_exception(err)
                    future.exception()
            else:
                if not future.done():
                    future.set_result(found)

    async def _read(self, job: JobId) -> Found:
        """The job's key before the final one: a job moves from the first to the second."""
        try:
            row = await self._client.get(keys.job(job))
            if row is not None:
                record = decode(bytes(row.value), JobRecord)
                self._mirror.put(keys.job(job), record, Stamp(row.version))
                return record
            row = await self._client.get(keys.final(job))
            if row is None:
                return None
            final = decode(bytes(row.value), FinalRecord)
        except BadMessage as err:
            raise Unknown(str(err)) from err
        self._mirror.keep_final(job, final.phase)
        self._mirror.book.remove(job, Stamp(row.version))
        return final.phase
