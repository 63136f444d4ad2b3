"""Path to the platform's store, direct or through a neighbour.

Some hosts may be unable to reach the store, or be rejected by it, while it serves the
others. Such a host sends its calls through a process that the store does answer. If the
store answers no process, neighbours report that at once, and the caller continues to
try the direct path.
"""

import asyncio
import random
from collections.abc import Iterable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import FetchedResponse, Fetcher, FetchError
from gypsumshift.neighbours import Neighbour
from gypsumshift.peerchoice import choose_probed
from gypsumshift.places import ONE_REGION, Layout
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.residency import ANYWHERE, Residency
from gypsumshift.roundtrips import EXCHANGE_ROUND_TRIPS, RoundTrips

__all__ = ["PROBE_TIMEOUT_S", "STORE_CHECK_PATH", "UNCERTAIN_STATUS", "StorePath"]

# Request target at which a process reports whether the store answers it.
STORE_CHECK_PATH = "/neighbour/reaches-store"
# Maximum age of the store's last direct answer for a process to count as connected:
# the feeds that a process follows bring an answer every 0.8 s at the latest.
MAX_ANSWER_AGE_S = 1.2
# Number of consecutive failed calls before neighbours are probed: single answers are
# lost occasionally, and a search costs three calls.
FAILURES_BEFORE_SEARCH = 2
# Number of neighbours probed at once, time limit for their answers, and pause before
# the next ones are probed. A round trip between zones takes 3 ms; hosts that lost their
# connection together do not answer.
CONCURRENT_PROBES = 3
PROBE_TIMEOUT_S = 0.3
SEARCH_PAUSE_S = 0.3
# Time between two probes of the direct path while calls go through a neighbour, and
# time limit for the store's answer to such a probe.
DIRECT_PROBE_PERIOD_S = 0.5
DIRECT_PROBE_TIMEOUT_S = 0.6
# Statuses with which the store rejects a call, and status with which a neighbour
# reports that a relayed call may or may not have been carried out.
REJECTED_STATUSES = (429, 503)
UNCERTAIN_STATUS = 502

log = logs.logger("neighbours")


class StorePath:
    """Sends calls to the store, directly or through a neighbour.

    Parameters
    ----------
    store : (str, int)
        Address of the store.
    fetcher : Fetcher
    clock : Clock
    chance : random.Random
    zone : str
        Availability zone of this process; neighbours in it are probed first.
    seeds : list of Neighbour
        Neighbours from the settings, used until the store has been read.
    policy : Policy
    layout : Layout
        Regions of the zones.

    Attributes
    ----------
    via : Neighbour or None
        Neighbour that relays the calls; None for the direct path.
    round_trips : RoundTrips
        Expected round trips to the processes of other regions.
    able : list of Neighbour
        Neighbours that reached the store at the last search, the one in use first.
    neighbours : dict
        `Neighbour` by name.
    reached_at : float
        Time of the store's last answer to a direct call, by the monotonic clock.
    failures : int
        Number of consecutive direct calls that failed or were rejected.
    search_task : asyncio.Task or None
        Searches for a neighbour that reaches the store.
    probe_target : str
        Cheapest request that the store answers; set by the store's adapter.
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
        layout: Layout = ONE_REGION,
    ):
        self.policy = policy
        self.layout = layout
        self.round_trips = RoundTrips(layout)
        self.store = store
        self.fetcher = fetcher
        self.clock = clock
        self.chance = chance
        self.zone = zone
        self.seeds = seeds
        self.neighbours: dict[str, Neighbour] = {}
        self.via: Neighbour | None = None
        self.able: list[Neighbour] = []
        self.reached_at = float("-inf")
        self.failures = 0
        self.search_task: asyncio.Task | None = None
        self.probe_target = "/"

    @property
    def reaches_store(self) -> bool:
        """Whether the store recently answered a direct call of this process."""
        return self.clock.monotonic() - self.reached_at < MAX_ANSWER_AGE_S

    @property
    def is_available(self) -> bool:
        """Whether the store can be reached directly or through a neighbour."""
        return self.via is not None or self.reaches_store

    async def fetch(
        self,
        method: str,
        target: str,
        headers,
        body: bytes,
        timeout: float,
        residency: Residency = ANYWHERE,
    ) -> FetchedResponse:
        """Call the store on the path in use, direct or through a neighbour.

        Parameters
        ----------
        method, target : str
        headers : list of (name, value)
        body : bytes
        timeout : float
            Seconds.
        residency : Residency
            Regions through which the call may be relayed. It takes the direct path if
            no process is in them.

        Raises
        ------
        FetchError
            ``sent`` tells whether the store may have received the call.
        """
        via = self.permitted_relay(residency)
        if via is None:
            return await self.fetch_direct(method, target, headers, body, timeout)
        return await self.fetch_via(via, method, target, headers, body, timeout)

    def permitted_relay(self, residency: Residency) -> Neighbour | None:
        """Return the neighbour to relay a call; None for the direct path.

        If none of those that were found to reach the store is in the regions of the
        residency, any process there is tried.
        """
        if self.via is None or not residency.is_restricted:
            return self.via
        found = self.in_regions(residency, (self.via, *self.able))
        if found:
            return found[0]
        others = self.in_regions(residency, self.neighbours.values())
        return self.chance.choice(others) if others else None

    def in_regions(
        self, residency: Residency, known: Iterable[Neighbour]
    ) -> list[Neighbour]:
        """Return those of some neighbours whose region a residency allows."""
        region_of = self.layout.region_of
        return [n for n in known if residency.allows(region_of(n.zone))]

    async def fetch_direct(
        self, method, target, headers, body, timeout
    ) -> FetchedResponse:
        """Call the store directly and record whether it answered."""
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
        """Call the store through a neighbour."""
        timeout += self.extra_s(via)
        try:
            answer = await self.fetcher.fetch(
                via.address, method, target, headers, body, timeout
            )
        except FetchError:
            self.stop_using_neighbour(via, "the neighbour does not answer")
            raise
        if answer.status == UNCERTAIN_STATUS:
            raise FetchError(
                f"neighbour {via.name} received no answer from the store", True
            )
        if answer.status in REJECTED_STATUSES:
            self.stop_using_neighbour(via, "the store rejects the neighbour's calls")
        return answer

    def stop_using_neighbour(self, via: Neighbour, reason: str) -> None:
        """Return to the direct path unless another neighbour is in use by now."""
        self.able = [neighbour for neighbour in self.able if neighbour != via]
        if self.via == via:
            self.via = None
            logs.event(
                log,
                "Calls to the store no longer go through a neighbour.",
                neighbour=via.name,
                reason=reason,
            )

    def record_failure(self) -> None:
        """Count a failed direct call, and start a search for a neighbour if needed."""
        self.failures += 1
        idle = self.search_task is None or self.search_task.done()
        if (
            idle
            and self.failures >= FAILURES_BEFORE_SEARCH
            and self.choose_neighbours()
        ):
            self.search_task = asyncio.create_task(self.search_relay())

    def choose_neighbours(self) -> list[Neighbour]:
        """Choose random neighbours to probe, those of the own zone first.

        One of another zone is included, because a whole zone may be disconnected.
        """
        if not self.policy.store_through_neighbours:
            return []
        known = list(self.neighbours.values()) or list(self.seeds)
        self.chance.shuffle(known)
        if self.layout.has_regions:
            return choose_probed(known, self.layout, CONCURRENT_PROBES)
        near = [n for n in known if n.zone == self.zone]
        far = [n for n in known if n.zone != self.zone]
        near = near[: CONCURRENT_PROBES - min(len(far), 1)]
        return near + far[: CONCURRENT_PROBES - len(near)]

    async def search_relay(self) -> None:
        """Find a neighbour that reaches the store, and use it until this process does.

        Returns after a pause if no probed neighbour reaches the store.
        """
        asked = self.choose_neighbours()
        answers = await asyncio.gather(*map(self.probe_neighbour, asked))
        able = [n for n, answer in zip(asked, answers, strict=True) if answer]
        if not able or self.reaches_store:
            await self.clock.sleep(SEARCH_PAUSE_S)
            return
        self.via, self.able = able[0], able
        logs.event(
            log,
            "The store does not answer directly; calls go through a neighbour.",
            neighbour=self.via.name,
            asked=len(asked),
            able=len(able),
            failures=self.failures,
        )
        while self.via is not None:
            await self.clock.sleep(DIRECT_PROBE_PERIOD_S)
            await self.probe_store()

    def extra_s(self, neighbour: Neighbour) -> float:
        """Return the seconds by which a neighbour in another region answers later."""
        self.round_trips.note_address(neighbour.address, neighbour.zone)
        return self.round_trips.extra_s(neighbour.zone, EXCHANGE_ROUND_TRIPS)

    async def probe_neighbour(self, neighbour: Neighbour) -> bool:
        """Return whether a neighbour answers and reaches the store."""
        try:
            answer = await self.fetcher.fetch(
                neighbour.address,
                "GET",
                STORE_CHECK_PATH,
                timeout=PROBE_TIMEOUT_S + self.extra_s(neighbour),
            )
        except FetchError as error:
            log.debug("Probe of neighbour {} failed: {}", neighbour.name, error)
            return False
        return answer.status == 200

    async def probe_store(self) -> None:
        """Probe the direct path, and return to it if the store answers."""
        try:
            answer = await self.fetch_direct(
                "GET", self.probe_target, (), b"", DIRECT_PROBE_TIMEOUT_S
            )
        except FetchError as error:
            log.debug("Direct probe of the store failed: {}", error)
            return
        if answer.status not in REJECTED_STATUSES and self.via is not None:
            self.stop_using_neighbour(self.via, "the store answers directly again")
