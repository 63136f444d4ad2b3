"""Backend: the backend server beside a sidecar, its state and its weights."""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.dialects import DIALECTS, BackendState, Dialect
from gypsumshift.events import EventRecorder
from gypsumshift.generated.declarations import Pool
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.outcomes import Committed, Conflict, Missing, Unavailable
from gypsumshift.platforms import ABSENT, Tables, Write

__all__ = ["Backend", "Fence"]

STATE_TIMEOUT_S = 2.0
LATE_ORDER_FACTOR = 5.0
BACKENDS_TABLE = "backends"
FENCE_RETRY_PERIOD_S = 1.0

log = logs.logger("backend")


class Backend:
    """One backend server, as its sidecar asks and orders it.

    Parameters
    ----------
    address : (str, int)
    pool : Pool
        Declaration of its pool.
    fetcher : Fetcher
    recorder : EventRecorder
    name : str
    """

    def __init__(self, address, pool: Pool, fetcher: Fetcher, recorder, name: str):
        self.address = address
        self.pool = pool
        self.fetcher = fetcher
        self.recorder: EventRecorder = recorder
        self.name = name
        self.state = BackendState(False)
        self.swapping = False
        self.failed_swaps = 0

    @property
    def dialect(self) -> Dialect:
        """How it reports and takes orders."""
        return DIALECTS[self.pool.dialect]

    async def fetch_state(self) -> BackendState:
        """Ask for its state now."""
        try:
            answer = await self.fetcher.fetch(
                self.address, "GET", self.dialect.state_target, timeout=STATE_TIMEOUT_S
            )
            state = self.dialect.parse_state(answer.status, answer.body)
        except FetchError:
            state = BackendState(False)
        if state.healthy != self.state.healthy:
            kind = "healthy" if state.healthy else "unhealthy"
            self.recorder.record(kind, self.name, "by its own report")
        self.state = state
        return state

    async def load_weights(self, version: int, fence: int) -> bool:
        """Order it to load a version; return whether it then reports that version.

        An order whose answer is late or lost counts for nothing: what it reports
        afterwards decides.
        """
        order = self.dialect.weight_load_order(self.pool.name, version, fence)
        if order is None:
            return True
        self.swapping = True
        self.recorder.record("load", self.name, f"version {version} fence {fence}")
        try:
            await self.fetcher.fetch(
                self.address,
                order.method,
                order.target,
                order.headers,
                order.body,
                self.pool.swap_allowance * LATE_ORDER_FACTOR,
            )
        except FetchError as error:
            log.warning("An order to load version {} failed: {}.", version, error)
        finally:
            self.swapping = False
        state = await self.fetch_state()
        loaded = state.version == version
        self.failed_swaps = 0 if loaded else self.failed_swaps + 1
        kind = "loaded" if loaded else "load-failed"
        self.recorder.record(kind, self.name, f"version {version}")
        return loaded


class Fence:
    """Right to give orders to one backend server, by the highest number.

    Parameters
    ----------
    tables : Tables
    backend : str
    owner : str
        Unique to this process: its name and incarnation.
    clock : Clock
    """

    def __init__(self, tables: Tables, backend: str, owner: str, clock: Clock):
        self.tables = tables
        self.backend = backend
        self.owner = owner
        self.clock = clock
        self.number = 0

    async def acquire(self) -> int:
        """Take the next number from the platform, waiting while it is down."""
        while True:
            row = await self.tables.read(BACKENDS_TABLE, self.backend)
            if isinstance(row, Unavailable):
                await self.clock.sleep(FENCE_RETRY_PERIOD_S)
                continue
            if not isinstance(row, Missing) and row.value["owner"] == self.owner:
                self.number = row.value["fence"]
                return self.number
            version = ABSENT if isinstance(row, Missing) else row.version
            number = 1 if isinstance(row, Missing) else row.value["fence"] + 1
            value = {"fence": number, "owner": self.owner}
            write = Write(BACKENDS_TABLE, self.backend, value, version)
            outcome = await self.tables.commit([write])
            if not isinstance(outcome, (Committed, Conflict)):
                await self.clock.sleep(FENCE_RETRY_PERIOD_S)

    async def is_superseded(self) -> bool:
        """Tell whether the platform knows a newer owner; False while it is down."""
        row = await self.tables.read(BACKENDS_TABLE, self.backend)
        if isinstance(row, (Missing, Unavailable)):
            return False
        return row.value["fence"] > self.number
