"""Generation: one entry at a time drives the samples of each trainer."""

import asyncio
import json

import attrs

from gypsumshift import logs
from gypsumshift.answers import Streamed, Whole
from gypsumshift.dialects import DIALECTS, Dialect
from gypsumshift.dispatch import Dispatcher, Job
from gypsumshift.generated.declarations import Trainer
from gypsumshift.generated.messages import RequestClass
from gypsumshift.leases import Lease
from gypsumshift.ledger import Group, Ledger, Sample, Trainee, is_fresh
from gypsumshift.links import LinkError
from gypsumshift.outcomes import Committed, NotRun, Unavailable
from gypsumshift.platforms import Row
from gypsumshift.process import Process

__all__ = ["Driver", "Generator", "steps_ahead"]

LEASE_DURATION = 4.0
LEASE_PERIOD = 1.0
TICK = 0.3
SAMPLE_TIMEOUT = 600.0
RETRY_LEAST = 0.1
RETRY_MOST = 2.0
MOST_REJECTIONS = 3
SAMPLE_URGENCY = 5
LAST_URGENCY = 2
COMPLETIONS = "/v1/completions"

log = logs.logger("generation")


def steps_ahead(trainer: Trainer) -> int:
    """Return how many steps to generate beyond the one that is wanted.

    A step generated ahead is one version older when it is trained on, so no more
    than the bound are ever made; the declared weight chooses between 0 and that.
    """
    return round((1 - trainer.staleness_weight) * trainer.staleness_bound)


class UnreadableEvent(Exception):
    """The engine sent something that is no event of a completion."""


@attrs.frozen
class Event:
    """One event of a completion stream.

    Attributes
    ----------
    text : str
    token_ids : list of int
    finish_reason : str
    version : int or None
    """

    text: str = ""
    token_ids: list[int] = attrs.field(factory=list)
    finish_reason: str = ""
    version: int | None = None


class Driver:
    """Drives the groups of one trainer while this entry holds the lease.

    Parameters
    ----------
    process : Process
    dispatcher : Dispatcher
    name : str
        The trainer's.
    """

    def __init__(self, process: Process, dispatcher: Dispatcher, name: str):
        self.process = process
        self.dispatcher = dispatcher
        self.name = name
        self.clock = process.clock
        self.ledger = Ledger(process.platform, name)
        owner = f"{process.own.name}/{process.own.incarnation}"
        tables = process.platform.tables
        lease_name = f"trainer/{name}"
        self.lease = Lease(tables, lease_name, owner, self.clock, LEASE_DURATION)
        self.trainer = Trainer(name=name, workspace="", pool="")
        self.running: dict[int, asyncio.Task] = {}
        self.floor = 0
        self.ready = 0
        self.progressed = asyncio.Event()

    @property
    def declared(self) -> Trainer | None:
        """The trainer's declaration now in force."""
        return self.process.in_force.catalog.trainers.get(self.name)

    async def run(self) -> None:
        """Hold the lease where nobody else does, and drive while it is held."""
        renewing = self.process.spawn(self.renew())
        try:
            while self.declared is not None:
                if self.lease.held and not self.process.own.leaving:
                    await self.tick()
                else:
                    self.stop_groups()
                self.progressed.clear()
                await self.pause()
        finally:
            renewing.cancel()
            self.stop_groups()
            await self.lease.release()

    async def pause(self) -> None:
        """Wait for the next tick, or until a group has ended."""
        try:
            async with asyncio.timeout(TICK):
                await self.progressed.wait()
        except TimeoutError:
            pass

    async def renew(self) -> None:
        """Renew the lease, or wait for it."""
        while True:
            if not self.process.own.leaving:
                await self.lease.step()
            await self.clock.sleep(LEASE_PERIOD)

    def stop_groups(self) -> None:
        """Stop all groups that run."""
        for task in self.running.values():
            task.cancel()
        self.running.clear()

    async def tick(self) -> None:
        """Look at the ledger, and start the groups that are due."""
        trainer = self.trainer = self.declared or self.trainer
        trainee = await self.ledger.trainee()
        pairs = await self.ledger.groups()
        if isinstance(trainee, Unavailable) or isinstance(pairs, Unavailable):
            return
        self.floor = trainee.version - trainer.staleness_bound
        await self.discard_stale(pairs, trainee, trainer.staleness_bound)
        ready = [group for _, group in pairs if group.ready]
        self.ready = len(ready)
        room = self.due(trainer, trainee) - len(ready) - len(self.running)
        for row, group in pairs:
            if room <= 0:
                break
            if group.waits and group.number not in self.running:
                self.start_group(row, group)
                room -= 1

    def due(self, trainer: Trainer, trainee: Trainee) -> int:
        """Return how many groups shall be ready or running."""
        wanted = 1 if trainee.wanted > trainee.sealed else 0
        return trainer.groups_per_step * (wanted + steps_ahead(trainer))

    async def discard_stale(self, pairs, trainee: Trainee, bound: int) -> None:
        """Take back ready groups that have become too old."""
        for row, group in pairs:
            if group.ready and not is_fresh(group, trainee, bound):
                await self.ledger.discard(row, group)
                self.process.metrics.count("groups_discarded", trainer=self.name)
                group.object = ""

    def start_group(self, row: Row, group: Group) -> None:
        """Start to generate a group's samples."""
        task = self.process.spawn(self.generate(row, group))
        self.running[group.number] = task

    async def generate(self, row: Row, group: Group) -> None:
        """Generate a group's samples and mark it ready."""
        try:
            samples = await asyncio.gather(
                *(self.sample(group, number) for number in range(group.samples))
            )
            if None in samples:
                await self.ledger.fail(row, group, "the engine rejects the prompt")
                return
            while any(sample.oldest < self.floor for sample in samples):
                samples = await self.renewed(group, samples)
            outcome = await self.ledger.finish(row, group, list(samples))
            if isinstance(outcome, Committed):
                subject = f"{self.name}/{group.id}"
                self.process.recorder.note("group-ready", subject)
        finally:
            if self.running.get(group.number) is asyncio.current_task():
                del self.running[group.number]
            self.progressed.set()

    async def renewed(self, group: Group, samples: list[Sample]) -> list[Sample]:
        """Generate again those samples that have become too old meanwhile."""

        async def keep_or_renew(number: int, sample: Sample) -> Sample:
            if sample.oldest >= self.floor:
                return sample
            self.count_wasted(len(sample.token_ids), "stale")
            return await self.sample(group, number)

        return await asyncio.gather(
            *(keep_or_renew(number, sample) for number, sample in enumerate(samples))
        )

    def count_wasted(self, tokens: int, why: str) -> None:
        """Count tokens that were generated and thrown away."""
        self.process.metrics.count("tokens_wasted", tokens, trainer=self.name, why=why)

    async def sample(self, group: Group, number: int) -> Sample | None:
        """Generate one whole and labelled sample; None where the engine rejects it."""
        rejections = 0
        while rejections < MOST_REJECTIONS:
            job = self.job(group)
            result = await self.dispatcher.send(job)
            wait = RETRY_LEAST
            if isinstance(result, Streamed):
                sample = await self.collect(group, number, result)
                if sample is not None:
                    return sample
            elif isinstance(result, NotRun):
                wait = min(max(result.retry_after.total_seconds(), wait), RETRY_MOST)
            elif isinstance(result, Whole) and 400 <= result.head.status < 500:
                rejections += 1
            await self.clock.sleep(wait)
        return None

    def job(self, group: Group) -> Job:
        """Return the request for one sample of a group."""
        trainer = self.trainer
        body = {
            "prompt": group.prompt,
            "max_tokens": group.max_tokens,
            "temperature": group.temperature,
            "stream": True,
            "return_token_ids": True,
            "priority": SAMPLE_URGENCY,
        }
        return Job(
            workspace=f"trainer:{self.name}",
            pool=trainer.pool,
            method="POST",
            target=COMPLETIONS,
            headers=[("content-type", "application/json")],
            body=json.dumps(body).encode(),
            deadline=self.clock.monotonic() + SAMPLE_TIMEOUT,
            request_class=RequestClass.SAMPLE,
            oldest_version=max(0, self.floor),
            urgency=SAMPLE_URGENCY,
            share=trainer.share,
            affinity=group.prompt,
        )

    async def collect(
        self, group: Group, number: int, streamed: Streamed
    ) -> Sample | None:
        """Read a stream; None where it is not whole, too old or in doubt."""
        pool = self.process.in_force.catalog.pools.get(self.trainer.pool)
        dialect = DIALECTS[pool.dialect if pool else "plain"]
        text, tokens, finish = [], [], ""
        rest = b""
        try:
            async for data in streamed.chunks:
                *lines, rest = (rest + data).split(b"\n")
                for event in read_events(lines, dialect):
                    if event.version is not None and event.version < self.floor:
                        self.count_wasted(len(tokens), "cut")
                        return None
                    text.append(event.text)
                    tokens += event.token_ids
                    finish = event.finish_reason or finish
        except (LinkError, UnreadableEvent) as error:
            self.count_wasted(len(tokens), "broken")
            log.info("A sample of {} broke: {}.", self.name, error)
            return None
        finally:
            await streamed.chunks.aclose()
        spans = [[span.first, span.last, span.version] for span in streamed.spans]
        if not finish or not spans or spans[-1][1] != len(tokens):
            self.count_wasted(len(tokens), "unlabelled")
            return None
        self.process.metrics.count("tokens_sampled", len(tokens), trainer=self.name)
        return Sample(
            id=f"{group.id}/{number}",
            prompt=group.prompt,
            text="".join(text),
            token_ids=tokens,
            spans=spans,
            finish_reason=finish,
        )


def read_events(lines: list[bytes], dialect: Dialect) -> list[Event]:
    """Return the events in some lines of a completion stream."""
    events = []
    for line in lines:
        data = line.removeprefix(b"data:").strip()
        if line.startswith(b"data:") and data != b"[DONE]":
            events.append(read_event(data, dialect))
    return events


def read_event(data: bytes, dialect: Dialect) -> Event:
    """Return one event of a completion stream."""
    try:
        value = json.loads(data)
        choice = (value.get("choices") or [{}])[0]
        return Event(
            text=choice.get("text") or "",
            token_ids=choice.get("token_ids") or [],
            finish_reason=choice.get("finish_reason") or "",
            version=dialect.piece(value).version,
        )
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise UnreadableEvent(f"an event cannot be read: {error}") from error


class Generator:
    """Runs one driver for each declared trainer.

    Parameters
    ----------
    process : Process
    dispatcher : Dispatcher
    """

    def __init__(self, process: Process, dispatcher: Dispatcher):
        self.process = process
        self.dispatcher = dispatcher
        self.drivers: dict[str, Driver] = {}

    def follow(self) -> None:
        """Start a driver for each trainer that is declared and has none."""
        for name in self.process.in_force.catalog.trainers:
            if name not in self.drivers:
                driver = Driver(self.process, self.dispatcher, name)
                self.drivers[name] = driver
                task = self.process.spawn(driver.run())
                task.add_done_callback(
                    lambda _, name=name: self.drivers.pop(name, None)
                )

    async def release(self) -> None:
        """Give up all leases, so that other entries go on at once."""
        for driver in self.drivers.values():
            driver.stop_groups()
            await driver.lease.release()
