"""Weights: keeps the weights of one engine as fresh as its trainers' steps need."""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs import placement
from gypsumshift.jobs.claims import ClaimBoard
from gypsumshift.jobs.engine import EngineReport, VersionOrder
from gypsumshift.jobs.station import Station
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Answered

__all__ = ["WeightKeeper"]

# Seconds before an order without an answer is given again.
ORDER_RETRY = 1.0
# Seconds after an order in which a report may still be older than it.
ORDER_SETTLE = 0.2
ACCEPTED = (200, 202)

log = logs.logger("weights")


class WeightKeeper:
    """Gives an engine its orders; nobody else does.

    Parameters
    ----------
    station : Station
    board : ClaimBoard
    clock : Clock
    metrics : Metrics

    Attributes
    ----------
    demand : Demand
    fence : int
        Grows with each start of this process; 0 until orders may be given.
    loading : str
        Model whose weights the engine loads; empty for none.
    """

    def __init__(
        self, station: Station, board: ClaimBoard, clock: Clock, metrics: Metrics
    ):
        self.station = station
        self.board = board
        self.clock = clock
        self.metrics = metrics
        self.demand = placement.Demand()
        self.fence = 0
        self.loading = ""
        self.order_at = float("-inf")
        self.named_at: dict[str, tuple[int, float]] = {}

    def placed(self) -> dict[str, tuple[str, ...]]:
        """Return the models of each engine of the service."""
        limits = self.station.limits
        if limits is None:
            return {}
        shares = self.demand.shares(limits.models)
        return placement.assign(self.station.peers, shares)

    def models(self) -> tuple[str, ...]:
        """Return the models that the engine is to serve."""
        server = self.station.server
        return self.placed().get(server.id, ()) if server else ()

    def note_report(self, report: EngineReport) -> None:
        """Take a report: an engine that is not busy has loaded."""
        settled = self.clock.monotonic() - self.order_at > ORDER_SETTLE
        if not report.busy and settled:
            self.loading = ""

    async def bring(self, report: EngineReport) -> None:
        """Order newer weights where they are due."""
        server = self.station.server
        if server is None or report.busy or not self.fence:
            return
        if self.clock.monotonic() - self.order_at < ORDER_RETRY:
            return
        placed = self.placed()
        for model in placed.get(server.id, ()):
            peers = [engine for engine in sorted(placed) if model in placed[engine]]
            choice = self.choose(report, model, peers.index(server.id))
            if choice is not None:
                await self.give_order(server, report, choice)
                return

    def choose(self, report, model: str, turn: int) -> placement.LoadChoice | None:
        """Return the weights to load for a model now."""
        newest = self.station.directory.newest.get(model, 1)
        seen, since = self.named_at.get(model, (0, 0.0))
        now = self.clock.monotonic()
        if seen != newest:
            since = now
            self.named_at[model] = (newest, now)
        return placement.choose_load(
            model,
            report.versions.get(model, 0),
            newest,
            self.board.waiting(model),
            turn,
            now - since,
        )

    async def give_order(self, server, report, choice) -> None:
        """Order the engine to load weights."""
        holder = self.station.home.name
        order = VersionOrder(
            choice.model, choice.version, holder, self.fence, report.orders
        )
        self.order_at = self.clock.monotonic()
        answer = await self.station.engine.order(server, order)
        status = answer.status if isinstance(answer, Answered) else 0
        self.metrics.count("orders", status=str(status))
        self.loading = choice.model if status in ACCEPTED else ""
        logs.event(
            log,
            "Ordered new weights.",
            server=server.id,
            model=choice.model,
            version=choice.version,
            was=report.versions.get(choice.model, 0),
            why=choice.reason,
            status=status,
            outcome=type(answer).__name__,
        )
