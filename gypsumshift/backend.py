"""Client of the backend server beside a sidecar, and the fence for its orders."""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.dialects import DIALECTS, BackendState, Dialect
from gypsumshift.events import EventRecorder
from gypsumshift.generated.declarations import Pool
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.outcomes import Committed, Conflict, Missing, Unavailable
from gypsumshift.platforms import ABSENT, Row, Tables, Write

__all__ = ["Backend", "Fence"]

STATE_TIMEOUT_S = 2.0
# An order to load weights times out after this multiple of the pool's swap allowance.
LATE_ORDER_FACTOR = 5.0
BACKENDS_TABLE = "backends"
# Value of a new row, which nobody has claimed yet.
UNUSED = {"fence": 0, "owner": ""}
# Pause between attempts to acquire the fence while the platform is down.
FENCE_RETRY_PERIOD_S = 1.0

log = logs.logger("backend")


class Backend:
    """Client by which a sidecar reads its backend server's state and loads weights.

    Parameters
    ----------
    address : (str, int)
    pool : Pool
        Declaration of the server's pool.
    fetcher : Fetcher
    recorder : EventRecorder
    name : str

    Attributes
    ----------
    state : BackendState
        State by the last report; unhealthy before the first.
    swapping : bool
        Whether an order to load weights is under way.
    failed_swaps : int
        Orders in a row after which the server did not report the version ordered.
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
        """Dialect that the pool declares."""
        return DIALECTS[self.pool.dialect]

    async def fetch_state(self) -> BackendState:
        """Request and store the server's state; without an answer it is unhealthy."""
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
        """Order the server to load a version; return whether it then reports it.

        The answer to the order may be late or lost, so only the version that the
        server reports afterwards decides. Nothing is sent in a dialect without weights,
        which returns True.
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
            log.warning(
                "The order to load weight version {} failed: {}; the backend "
                "server's next state report shows whether the version was loaded.",
                version,
                error,
            )
        finally:
            self.swapping = False
        state = await self.fetch_state()
        loaded = state.version == version
        self.failed_swaps = 0 if loaded else self.failed_swaps + 1
        kind = "loaded" if loaded else "load-failed"
        self.recorder.record(kind, self.name, f"version {version}")
        return loaded


class Fence:
    """Fencing number for the orders to one backend server.

    Each owner gets a higher number than the ones before it, and only the owner of the
    highest number may give orders.

    Parameters
    ----------
    tables : Tables
    backend : str
    owner : str
        Unique to this process: its name and incarnation.
    clock : Clock

    Attributes
    ----------
    number : int
        Number of this process; 0 before it has one.
    """

    def __init__(self, tables: Tables, backend: str, owner: str, clock: Clock):
        self.tables = tables
        self.backend = backend
        self.owner = owner
        self.clock = clock
        self.number = 0

    async def acquire(self) -> int:
        """Claim and return the next number, retrying while the platform is down.

        A number that this owner has already claimed is returned again, so an answer
        that was lost costs no number.
        """
        while True:
            row = await self.tables.read(BACKENDS_TABLE, self.backend)
            if isinstance(row, Unavailable):
                await self.clock.sleep(FENCE_RETRY_PERIOD_S)
                continue
            if not isinstance(row, Missing) and row.value["owner"] == self.owner:
                self.number = row.value["fence"]
                return self.number
            write = self.next_write(row)
            outcome = await self.tables.commit([write])
            if not isinstance(outcome, (Committed, Conflict)):
                await self.clock.sleep(FENCE_RETRY_PERIOD_S)

    def next_write(self, row: Row | Missing) -> Write:
        """Return the write that claims the next number.

        If the row is missing, the numbers used before are unknown. The row is then
        created without an owner, and its version becomes the first number; see
        `leases`.
        """
        if isinstance(row, Missing):
            return Write(BACKENDS_TABLE, self.backend, UNUSED, ABSENT)
        number = row.value["fence"] + 1 if row.value != UNUSED else row.version
        value = {"fence": number, "owner": self.owner}
        return Write(BACKENDS_TABLE, self.backend, value, row.version)

    async def is_superseded(self) -> bool:
        """Return whether the platform has a newer owner; False while it is down."""
        row = await self.tables.read(BACKENDS_TABLE, self.backend)
        if isinstance(row, (Missing, Unavailable)):
            return False
        return row.value["fence"] > self.number
