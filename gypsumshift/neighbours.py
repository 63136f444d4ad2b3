"""Neighbours: other processes of the system as a way to the platform's store.

The decision answers a store that some hosts cannot reach, or that turns some away,
while it serves the others: such a host has its calls passed on by a process that the
store answers. Nothing is kept on the way, so a call through a neighbour has the same
outcomes as one of its own: done, refused, or unknown. Where the store answers nobody,
neighbours say so at once, and the caller goes on trying by itself.
"""

import asyncio
import ipaddress
import random

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import FetchedResponse, Fetcher, FetchError
from gypsumshift.httpserver import Handler, Request, Response
from gypsumshift.outcomes import Committed
from gypsumshift.platforms import Row, RowStore, Write
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.watch import StaleRowDetector, Watch

__all__ = ["Neighbour", "NeighbourRegistry", "Relay", "StorePath"]

# Table of the processes of the system.
NEIGHBOURS_TABLE = "neighbours"
# Seconds between two writes of a process's own entry, and after which an entry that
# was not written again is left out: its process is gone.
ANNOUNCE_PERIOD_S = 15.0
ENTRY_TIMEOUT_S = 60.0
# Entries removed in one transaction: a store takes 100 rows, and one that was written
# meanwhile holds up those beside it. They are drawn, since many remove at once.
MAX_REMOVALS = 16
# Seconds between answers of the table: who needs a neighbour asks three that it knows.
NEIGHBOURS_BATCH_INTERVAL_S = 1.0
# Target by which a process is asked whether the store answers it.
STORE_CHECK_PATH = "/neighbour/reaches-store"
# Seconds within which the store must have answered a neighbour: its feeds bring an
# answer each 0.8 s at the latest.
MAX_ANSWER_AGE_S = 1.2
# Calls in a row that fail before neighbours are asked: a single answer is lost now
# and then, and asking costs three calls.
FAILURES_BEFORE_SEARCH = 2
# Neighbours asked at once, the time for their answer, and the pause until the next are
# asked, in seconds. A round trip between zones takes 3 ms; hosts that are cut off
# together do not answer.
CONCURRENT_PROBES = 3
PROBE_TIMEOUT_S = 0.3
SEARCH_PAUSE_S = 0.3
# Seconds between tries of the direct way while a neighbour is used, and for its answer.
DIRECT_PROBE_PERIOD_S = 0.5
DIRECT_PROBE_TIMEOUT_S = 0.6
# Seconds that a neighbour gives the store for an answer, beyond the wait of a feed.
RELAY_TIMEOUT_S = 1.6
# What the store says where it turns a call away, and what a neighbour says where it
# cannot know whether a call that it passed on was carried out.
REJECTED_STATUSES = (429, 503)
UNCERTAIN_STATUS = 502
JSON_HEADERS = [("content-type", "application/json")]

log = logs.logger("neighbours")


@attrs.frozen
class Neighbour:
    """Another process of the system.

    Attributes
    ----------
    name : str
    address : (str, int)
        Where it passes calls to the store on.
    zone : str
        Empty where it is not known.
    link : float
        Mbit/s of its host; 0 where it is not known.
    """

    name: str
    address: tuple[str, int]
    zone: str = ""
    link: float = 0.0


class StorePath:
    """The way to the store: the own one, or through a neighbour.

    Parameters
    ----------
    store : (str, int)
    fetcher : Fetcher
    clock : Clock
    chance : random.Random
    zone : str
        Availability zone of this process; neighbours in it are asked first.
    seeds : list of Neighbour
        Known before the store was read.
    policy : Policy

    Attributes
    ----------
    via : Neighbour or None
        Neighbour that passes calls on; None for the direct way.
    neighbours : dict
        `Neighbour` by name.
    reached_at : float
        When the store last answered a direct call, by the monotonic clock.
    failures : int
        Direct calls in a row that failed or were turned away.
    probe_target : str
        Cheapest call that the store answers; set by the adapter, which knows its calls.
    """

    def __init__(
        self,
        store: tuple[str, int],
        fetcher: Fetcher,
        clock: Clock,
        chance: random.Random,
        zone: str,
        seeds: list[Neighbour],
        policy: Policy = DEFAULT_POLICY,
    ):
        self.policy = policy
        self.store = store
        self.fetcher = fetcher
        self.clock = clock
        self.chance = chance
        self.zone = zone
        self.seeds = seeds
        self.neighbours: dict[str, Neighbour] = {}
        self.via: Neighbour | None = None
        self.reached_at = float("-inf")
        self.failures = 0
        self.search_task: asyncio.Task | None = None
        self.probe_target = "/"

    @property
    def reaches_store(self) -> bool:
        """Whether the store answers this process directly."""
        return self.clock.monotonic() - self.reached_at < MAX_ANSWER_AGE_S

    @property
    def is_available(self) -> bool:
        """Whether the store is reached, directly or through a neighbour."""
        return self.via is not None or self.reaches_store

    async def fetch(
        self, method: str, target: str, headers, body: bytes, timeout: float
    ) -> FetchedResponse:
        """Call the store by the way that works.

        Raises
        ------
        FetchError
            ``sent`` tells whether the store may have seen the call.
        """
        if self.via is None:
            return await self.fetch_direct(method, target, headers, body, timeout)
        return await self.fetch_via(self.via, method, target, headers, body, timeout)

    async def fetch_direct(
        self, method, target, headers, body, timeout
    ) -> FetchedResponse:
        """Call the store directly, and learn whether that works."""
        try:
            answer = await self.fetcher.fetch(
                self.store, method, target, headers, body, timeout
            )
        except FetchError:
            self.record_failure()
            raise
        if answer.status in REJECTED_STATUSES:
            self.record_failure()
        else:
            self.reached_at = self.clock.monotonic()
            self.failures = 0
        return answer

    async def fetch_via(
        self, via, method, target, headers, body, timeout
    ) -> FetchedResponse:
        """Have a neighbour call the store."""
        try:
            answer = await self.fetcher.fetch(
                via.address, method, target, headers, body, timeout
            )
        except FetchError:
            self.stop_using_neighbour(via, "it does not answer")
            raise
        if answer.status == UNCERTAIN_STATUS:
            raise FetchError(f"{via.name} got no answer from the store", True)
        if answer.status in REJECTED_STATUSES:
            self.stop_using_neighbour(via, "the store turns it away")
        return answer

    def stop_using_neighbour(self, via: Neighbour, reason: str) -> None:
        """Go back to the direct way."""
        if self.via == via:
            self.via = None
            logs.event(log, "A neighbour is left.", neighbour=via.name, reason=reason)

    def record_failure(self) -> None:
        """Count a direct call that failed, and ask neighbours after some."""
        self.failures += 1
        idle = self.search_task is None or self.search_task.done()
        if (
            idle
            and self.failures >= FAILURES_BEFORE_SEARCH
            and self.choose_neighbours()
        ):
            self.search_task = asyncio.create_task(self.search_relay())

    def choose_neighbours(self) -> list[Neighbour]:
        """Return the neighbours to ask at once, those of the own zone first.

        One of another zone is among them, since a whole zone may be cut off.
        """
        if not self.policy.store_through_neighbours:
            return []
        known = list(self.neighbours.values()) or list(self.seeds)
        self.chance.shuffle(known)
        near = [n for n in known if n.zone == self.zone]
        far = [n for n in known if n.zone != self.zone]
        near = near[: CONCURRENT_PROBES - min(len(far), 1)]
        return near + far[: CONCURRENT_PROBES - len(near)]

    async def search_relay(self) -> None:
        """Find a neighbour that the store answers; use it until it answers here."""
        asked = self.choose_neighbours()
        answers = await asyncio.gather(*map(self.probe_neighbour, asked))
        able = [n for n, answer in zip(asked, answers, strict=True) if answer]
        if not able or self.reaches_store:
            await self.clock.sleep(SEARCH_PAUSE_S)
            return
        self.via = able[0]
        logs.event(
            log,
            "The store is called through a neighbour.",
            neighbour=self.via.name,
            asked=len(asked),
            able=len(able),
            failures=self.failures,
        )
        while self.via is not None:
            await self.clock.sleep(DIRECT_PROBE_PERIOD_S)
            await self.probe_store()

    async def probe_neighbour(self, neighbour: Neighbour) -> bool:
        """Ask a neighbour whether the store answers it."""
        try:
            answer = await self.fetcher.fetch(
                neighbour.address, "GET", STORE_CHECK_PATH, timeout=PROBE_TIMEOUT_S
            )
        except FetchError as error:
            log.debug("{} does not answer: {}", neighbour.name, error)
            return False
        return answer.status == 200

    async def probe_store(self) -> None:
        """Try the direct way while a neighbour is used."""
        try:
            answer = await self.fetch_direct(
                "GET", self.probe_target, (), b"", DIRECT_PROBE_TIMEOUT_S
            )
        except FetchError as error:
            log.debug("The store does not answer yet: {}", error)
            return
        if answer.status not in REJECTED_STATUSES and self.via is not None:
            self.stop_using_neighbour(self.via, "the store answers here again")


def parse_neighbour(row: Row) -> Neighbour:
    """Return the process that a row names; raises KeyError, TypeError, ValueError."""
    ip, port = row.value["address"]
    ipaddress.IPv4Address(ip)
    if type(port) is not int or not isinstance(row.value["zone"], str):
        raise TypeError("no port, or no availability zone")
    link = row.value.get("link", 0.0)
    if type(link) not in (int, float):
        raise TypeError("no width of a link")
    return Neighbour(row.key, (ip, port), row.value["zone"], link)


class Relay:
    """Passes neighbours' calls on to the store.

    Parameters
    ----------
    path : StorePath
        Only its direct way is used, so that calls do not go in circles.
    others : dict
        Handlers of what else neighbours may ask, by target.
    """

    def __init__(
        self, path: StorePath, other_handlers: dict[str, Handler] | None = None
    ):
        self.path = path
        self.other_handlers = other_handlers or {}

    async def serve(self, request: Request) -> Response:
        """Answer a neighbour."""
        if request.path in self.other_handlers:
            return await self.other_handlers[request.path](request)
        if request.target == STORE_CHECK_PATH:
            return Response(200 if self.path.reaches_store else 503)
        try:
            answer = await self.path.fetch_direct(
                request.method,
                request.target,
                JSON_HEADERS,
                request.body,
                RELAY_TIMEOUT_S,
            )
        except FetchError as error:
            log.debug("A neighbour's call failed: {}", error)
            return Response(UNCERTAIN_STATUS if error.sent else 503)
        return Response(answer.status, JSON_HEADERS, answer.body)


class NeighbourRegistry:
    """Tells the other processes of this one, and learns of them.

    Parameters
    ----------
    own : Neighbour
    path : StorePath
        Told of the others.
    store : RowStore
    clock : Clock
    """

    def __init__(self, own: Neighbour, path: StorePath, store: RowStore, clock: Clock):
        self.own = own
        self.path = path
        self.store = store
        self.clock = clock
        self.watch = Watch(
            store,
            NEIGHBOURS_TABLE,
            self.apply_rows,
            self.replace_rows,
            clock,
            unreadable=self.drop_unreadable_row,
            batch_interval=NEIGHBOURS_BATCH_INTERVAL_S,
        )
        self.stale_rows = StaleRowDetector(self.watch)

    def replace_rows(self, rows: list[Row]) -> None:
        """Take the whole table of neighbours; who is not in it is gone."""
        for name in self.path.neighbours.keys() - {row.key for row in rows}:
            self.remove_neighbour(name)
        self.apply_rows(rows)

    def apply_rows(self, rows: list[Row]) -> None:
        """Take rows of the table of neighbours."""
        for row in rows:
            if row.value is None or row.key == self.own.name:
                self.remove_neighbour(row.key)
                continue
            try:
                neighbour = parse_neighbour(row)
            except (KeyError, TypeError, ValueError) as error:
                self.drop_unreadable_row(row, error)
                continue
            self.path.neighbours[row.key] = neighbour
            self.stale_rows.record_row(row)

    def drop_unreadable_row(self, row: Row, error: object = "no JSON object") -> None:
        """Drop an entry that cannot be read: its version known here is an old one."""
        log.error("Cannot read {}/{}: {!r}", row.table, row.key, error)
        self.remove_neighbour(row.key)

    def remove_neighbour(self, name: str) -> None:
        """Drop a process that is gone."""
        self.path.neighbours.pop(name, None)
        self.stale_rows.remove_row(name)

    async def run(self) -> None:
        """Announce this process until cancelled."""
        while True:
            await self.announce()
            await self.clock.sleep(ANNOUNCE_PERIOD_S)

    async def announce(self) -> None:
        """Write the own entry alone, then remove those of processes that are gone.

        Where this process could not write, perhaps nobody could: else, of 5 processes,
        the first to write again after 75 s would remove the 4 others.
        """
        own = self.own
        value = {"address": list(own.address), "zone": own.zone, "link": own.link}
        outcome = await self.store.commit([Write(NEIGHBOURS_TABLE, own.name, value)])
        if isinstance(outcome, Committed):
            await self.remove_stale_entries()
            return
        self.stale_rows.restart_timers()
        reason = getattr(outcome, "reason", type(outcome).__name__)
        log.debug("This process is not announced yet: {}", reason)

    async def remove_stale_entries(self) -> None:
        """Remove some entries, drawn, only as known: newer ones may not be told yet."""
        gone = self.stale_rows.older_than(ENTRY_TIMEOUT_S)
        drawn = self.path.chance.sample(gone, min(len(gone), MAX_REMOVALS))
        if drawn:
            writes = [Write(NEIGHBOURS_TABLE, r.key, expected=r.version) for r in drawn]
            outcome = type(await self.store.commit(writes)).__name__
            names = [row.key for row in drawn]
            logs.event(log, "Remove who is gone.", names=names, outcome=outcome)
