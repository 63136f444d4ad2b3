"""Sidecar: the process beside one backend server, and its only sender."""

import asyncio
import contextlib

import attrs

from gypsumshift import logs
from gypsumshift.admission import Admission, FairAdmission, FifoAdmission, Ticket
from gypsumshift.attempts import AttemptLog
from gypsumshift.backend import Backend, Fence, wave_of
from gypsumshift.exchange import Reply, forward, versions
from gypsumshift.fetch import Fetcher, FetchError
from gypsumshift.generated import messages
from gypsumshift.generated.declarations import Pool
from gypsumshift.generated.messages import Body, Role, Start
from gypsumshift.limits import FixedLimit, LearntLimit
from gypsumshift.links import Session
from gypsumshift.members import rank
from gypsumshift.outcomes import Missing, Unavailable
from gypsumshift.process import LEAVING_PREFIX, Process
from gypsumshift.revisions import HEADS_TABLE
from gypsumshift.settings import parse_address

__all__ = ["Sidecar"]

ENTRIES_GREETED = 3
STATE_PERIOD = 0.5
SWAP_RETRY = 0.5
SWAP_RETRY_MOST = 10.0
KEPT_BODY_LIMIT = 1024 * 1024
RETRY_SOON = 0.2
DRAIN_PERIOD = 0.05
DEFAULT_DEADLINE = 30.0
QUEUE_SHARE_OF_TIMEOUT = 0.9

log = logs.logger("sidecar")


@attrs.define(eq=False)
class Run:
    """One attempt that waits or runs here.

    Attributes
    ----------
    start : Start
    session : Session
        The link that it came over.
    exchange : int
    task : asyncio.Task or None
    """

    start: Start
    session: Session
    exchange: int
    task: asyncio.Task | None = None


class Sidecar(Process):
    """Process beside one backend server.

    It alone sends requests and orders there. So it can say truly that a request
    has not run, and label tokens by what the engine reports.
    """

    role = Role.SIDECAR
    heartbeat_period = 2.0

    def __init__(self, settings, platform=None, clock=None):
        super().__init__(settings, platform, clock)
        self.fetcher = Fetcher()
        self.attempts = AttemptLog()
        self.runs: dict[str, Run] = {}
        url = settings.backend_url.removeprefix("http://")
        pool = Pool(name=settings.pool, kind="model")
        self.backend = Backend(
            parse_address(url), pool, self.fetcher, self.recorder, settings.backend
        )
        self.admission: Admission = FairAdmission(
            FixedLimit(pool.concurrency), pool.queue, self.clock
        )
        self.settled = False
        owner = f"{self.own.name}/{self.own.incarnation}"
        tables = self.platform.tables
        self.fence = Fence(tables, settings.backend, owner, self.clock)

    async def start(self) -> None:
        """Listen and run the tasks."""
        await super().start()
        self.spawn(self.hold_fence())
        self.spawn(self.watch_backend())
        self.spawn(self.follow_target())

    async def stop(self) -> None:
        """Stop at once."""
        await super().stop()
        self.fetcher.close()

    # What it knows of its pool

    def revision_changed(self) -> None:
        """Take the declaration of its pool."""
        pool = self.in_force.catalog.pools.get(self.settings.pool)
        if pool is None or pool == self.backend.pool and self.settled:
            return
        self.settled = True
        self.backend.pool = pool
        learn = pool.learn_concurrency and pool.kind == "service"
        limit = (LearntLimit if learn else FixedLimit)(pool.concurrency)
        kind = {"fair": FairAdmission, "fifo": FifoAdmission}[pool.admission]
        if type(self.admission) is kind:
            self.admission.limit = limit
            self.admission.queue = pool.queue
        elif not self.runs:
            self.admission = kind(limit, pool.queue, self.clock)

    def correspondents(self):
        """Return a few entries; the seeds where none is known."""
        entries = self.view.entries()
        if not entries:
            return super().correspondents()
        entries.sort(key=lambda known: -rank(self.own.name, known.member.name))
        return [known.address for known in entries[:ENTRIES_GREETED]]

    def reads_hosts(self):
        """Read the platform's list only where nobody else tells of entries."""
        return not self.view.entries()

    def load(self) -> messages.Load:
        """Return the load of the backend server."""
        admission, state = self.admission, self.backend.state
        waits = admission.waiting * admission.duration / max(1, admission.limit.value)
        return messages.Load(
            running=admission.running,
            queued=admission.waiting,
            limit=admission.limit.value,
            wait_ms=int(waits * 1000),
            version=state.version or 0,
            healthy=state.healthy,
            swapping=self.backend.swapping,
            duration_s=admission.duration,
            mark=self.attempts.arrivals,
        )

    def figures(self):
        """Return the figures that `status` and the scrape page show."""
        load = self.load()
        return super().figures() | {
            "running": load.running,
            "queued": load.queued,
            "limit": load.limit,
            "wait_ms": load.wait_ms,
            "refused": self.admission.refused,
            "weight_version": load.version,
            "target_version": self.targets.get(self.settings.pool, 0),
            "swapping": int(load.swapping),
            "failed_swaps": self.backend.failed_swaps,
            "fence": self.own.fence,
            "healthy": int(load.healthy),
        }

    # Its backend server

    async def hold_fence(self) -> None:
        """Take the fencing number, and learn whether operators drain this one."""
        self.own.fence = await self.fence.take()
        self.recorder.note("fence", self.settings.backend, str(self.own.fence))
        key = LEAVING_PREFIX + self.settings.backend
        row = await self.platform.tables.read(HEADS_TABLE, key)
        if not isinstance(row, (Missing, Unavailable)):
            self.leave("drained by operators")
        self.wake.set()

    async def watch_backend(self) -> None:
        """Ask for the backend server's state, again and again."""
        while True:
            await self.backend.ask()
            await self.clock.sleep(STATE_PERIOD)

    async def follow_target(self) -> None:
        """Load each newly published version when this one's wave comes."""
        tries = 0
        while True:
            target = self.targets.get(self.settings.pool, 0)
            held = self.backend.state.version
            if not self.own.fence or held is None or held >= target:
                tries = 0
                await self.clock.sleep(DRAIN_PERIOD)
                continue
            if tries == 0:
                await self.await_wave(target)
            if await self.fence.deposed():
                self.leave("a newer sidecar gives the orders")
                return
            target = self.targets.get(self.settings.pool, 0)
            if await self.backend.load_weights(target, self.own.fence):
                tries = 0
                self.wake.set()
                continue
            tries += 1
            await self.clock.sleep(min(SWAP_RETRY * 2**tries, SWAP_RETRY_MOST))

    async def await_wave(self, version: int) -> None:
        """Wait until the waves before this one's had time to load."""
        mates = {known.member.backend for known in self.view.sidecars(self.own.pool)}
        pool = self.backend.pool
        wave = wave_of(self.own.backend, mates, version, pool.serving_floor)
        self.recorder.note("wave", self.own.backend, f"version {version} wave {wave}")
        await self.clock.sleep(wave * pool.swap_allowance)

    def leave(self, reason: str) -> None:
        """Take no new work from now on."""
        if not self.own.leaving:
            self.own.leaving = True
            self.recorder.note("leaving", self.settings.backend, reason)
            log.info("Takes no new work: {}.", reason)
            self.wake.set()

    async def drain(self, deadline: float) -> None:
        """Take no new work and finish what runs, within ``deadline`` seconds."""
        self.leave("drain ordered")
        end = self.clock.monotonic() + (deadline or DEFAULT_DEADLINE)
        while self.runs and self.clock.monotonic() < end:
            await self.clock.sleep(DRAIN_PERIOD)

    # Requests

    async def serve(self, session, exchange, body):
        """Answer one question of a peer."""
        if body.start is not None:
            self.accept(session, exchange, body.start)
        elif body.cancel is not None:
            self.cancel(body.cancel.attempt)
        elif body.bar is not None:
            await session.reply(exchange, Body(bar_reply=self.bar(body.bar)))
        else:
            await super().serve(session, exchange, body)

    def accept(self, session: Session, exchange: int, start: Start) -> None:
        """Take one attempt, and run it in a task of its own."""
        run = Run(start, session, exchange)
        if start.incarnation != self.own.incarnation:
            reason = "meant for an earlier process here"
        elif start.attempt in self.runs:
            reason = "named like one that runs"
        elif not start.repeatable and not self.attempts.may_start(start.attempt):
            reason = "barred"
        else:
            reason = self.obstacle(start)
        if reason:
            self.spawn(self.refuse(run, reason, RETRY_SOON))
            return
        self.runs[start.attempt] = run
        if not start.repeatable:
            self.attempts.start(start.attempt)
        run.task = self.spawn(self.run(run))

    def obstacle(self, start: Start) -> str:
        """Return what stands against any new work, or this; empty for nothing."""
        if self.own.leaving:
            return "leaving"
        if self.view.deposed(self.own.backend, self.own.fence):
            return "replaced by a newer sidecar"
        if not self.in_force.ready:
            return "no revision yet"
        if not self.backend.state.healthy:
            return "the backend server is not healthy"
        if start.oldest_version > (self.backend.state.version or 0):
            return "the weights are too old"
        return ""

    async def refuse(self, run: Run, reason: str, retry_after: float) -> None:
        """Answer truly that an attempt has not run and never will."""
        self.recorder.note("not-run", run.start.attempt, reason)
        retry_ms = int(retry_after * 1000)
        refused = messages.Refused(reason, retry_ms, self.load())
        await run.session.reply(run.exchange, Body(refused=refused))

    async def run(self, run: Run) -> None:
        """Wait for a place, run one attempt and answer it."""
        start = run.start
        ticket = self.ticket(start)
        answered = False
        try:
            retry_after = await self.await_place(ticket)
            if retry_after:
                self.attempts.withdraw(start.attempt)
                await self.refuse(run, "overload", retry_after)
            else:
                answered = await self.send(run, ticket)
        finally:
            self.admission.withdraw(ticket)
            if ticket.admitted:
                self.admission.release(ticket, answered)
            self.runs.pop(start.attempt, None)

    def ticket(self, start: Start) -> Ticket:
        """Return the ticket of an attempt."""
        return Ticket(
            workspace=start.workspace,
            request_class=start.request_class,
            deadline=self.clock.monotonic() + start.timeout_ms / 1000,
            share=start.share,
            urgency=start.urgency,
        )

    async def await_place(self, ticket: Ticket) -> float:
        """Wait for a place; return 0, or seconds to come back after."""
        decided = asyncio.get_running_loop().create_future()
        ticket.decide = lambda admitted: decided.done() or decided.set_result(admitted)
        retry_after = self.admission.offer(ticket)
        if retry_after:
            return retry_after
        remaining = ticket.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining * QUEUE_SHARE_OF_TIMEOUT):
                admitted = await decided
        except TimeoutError:
            admitted = decided.done() and decided.result()
        return 0.0 if admitted else self.admission.refuse(self.admission.duration)

    async def send(self, run: Run, ticket: Ticket) -> bool:
        """Send one attempt to the backend server; return whether it was answered."""
        start = run.start
        self.recorder.note("start", start.attempt, f"{start.method} {start.target}")
        remaining = ticket.deadline - self.clock.monotonic()
        reply = None
        try:
            async with asyncio.timeout(remaining):
                reply = await forward(
                    self.fetcher,
                    self.backend.address,
                    start,
                    self.backend.dialect,
                    self.backend.state.version,
                )
                with contextlib.closing(reply.exchange):
                    await self.relay(run, reply)
            return True
        except FetchError as error:
            await self.fail(run, str(error), error.sent)
        except TimeoutError:
            await self.fail(run, "no answer in time", True)
        return False

    async def relay(self, run: Run, reply: Reply) -> None:
        """Pass an answer on as it comes; keep it where it may be asked for again."""
        start, keep = run.start, bytearray()
        await run.session.reply(run.exchange, Body(head=reply.head))
        async for data in reply.chunks():
            if not start.repeatable and len(keep) <= KEPT_BODY_LIMIT:
                keep += data
            chunk = messages.Chunk(data)
            await run.session.reply(run.exchange, Body(chunk=chunk))
        spans = await self.label(reply)
        if not start.repeatable:
            whole = len(keep) <= KEPT_BODY_LIMIT
            self.attempts.finish(
                start.attempt, reply.head if whole else None, bytes(keep)
            )
        seen = ",".join(str(version) for version in versions(spans))
        self.recorder.note("end", start.attempt, f"versions {seen}" if seen else "")
        end = messages.End(spans, self.load())
        await run.session.reply(run.exchange, Body(end=end))

    async def label(self, reply: Reply) -> list[messages.Span]:
        """Return the spans of an answer that has ended."""
        after = None
        if reply.reader.needs_after:
            after = (await self.backend.ask()).version
        return reply.reader.spans(after)

    async def fail(self, run: Run, reason: str, sent: bool) -> None:
        """Answer an attempt that failed: not run where nothing was sent."""
        start = run.start
        if not sent:
            self.attempts.withdraw(start.attempt)
            await self.refuse(run, reason, RETRY_SOON)
            return
        if not start.repeatable:
            self.attempts.finish(start.attempt, None, b"")
        self.recorder.note("broken", start.attempt, reason)
        broken = messages.Broken(reason, self.load())
        await run.session.reply(run.exchange, Body(broken=broken))

    def cancel(self, attempt: str) -> None:
        """Give up an attempt whose caller is gone, where it may be repeated."""
        run = self.runs.get(attempt)
        if run and run.start.repeatable and run.task:
            run.task.cancel()

    def bar(self, bar: messages.Bar) -> messages.BarReply:
        """Answer what became of an attempt; one not started never will."""
        if bar.incarnation != self.own.incarnation:
            return messages.BarReply(messages.AttemptState.UNKNOWN, None, b"")
        record = self.attempts.bar(bar.attempt)
        return messages.BarReply(record.state, record.head, record.body)

    def session_ended(self, session):
        """Give up what a lost entry can no longer receive."""
        for attempt, run in list(self.runs.items()):
            if run.session is session:
                self.cancel(attempt)
