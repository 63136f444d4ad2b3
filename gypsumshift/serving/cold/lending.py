"""Permits that this process gets from other processes, and gives to them."""

from typing import TYPE_CHECKING

from gypsumshift.serving.cold.limiter import SendRecord
from gypsumshift.serving.cold.permits import (
    PERMIT_SECONDS,
    Grant,
    Permit,
    PermitClient,
)
from gypsumshift.serving.cold.proofs import Link
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.serving.routes import ColdLimit

if TYPE_CHECKING:
    from gypsumshift.serving.coldrates import ColdRates

__all__ = ["Lending"]

# Time for which other processes are not asked again after they refused a request: about
# that in which a cold server takes one more. It doubles with each further refusal, so
# that many processes do not keep the few senders busy with questions.
REFUSED_SECONDS = 0.1
MAX_REFUSED_SECONDS = 0.2


class Lending:
    """Decides when to ask for a permit, and whether to give one.

    Parameters
    ----------
    rates : ColdRates

    Attributes
    ----------
    client : PermitClient or None
        Asks other processes; None if there are none.
    """

    def __init__(self, rates: "ColdRates"):
        self.rates = rates
        self.client: PermitClient | None = None

    def may_ask(self, server: BackendServer) -> bool:
        """Return whether another process may permit a request to a server."""
        if self.client is None or server.address == self.rates.own_engine:
            return False
        return not self.was_refused(server)

    def was_refused(self, server: BackendServer) -> bool:
        """Return whether requests to a server were refused a moment ago."""
        return self.rates.clock.monotonic() < self.rates.state(server).refused_until

    def is_needed(self, server: BackendServer, limit: ColdLimit, link: Link) -> bool:
        """Return whether a request may only be sent with another process's permit."""
        if not self.may_ask(server):
            return False
        proved = self.rates.leads_to_known_start(server, link)
        return self.rates.delay(server, limit, proved) > 0

    async def ask(
        self, server: BackendServer, limit: ColdLimit, link: Link
    ) -> Permit | None:
        """Ask other processes about a request on a connection, if it needs a permit."""
        if not self.is_needed(server, limit, link):
            return None
        state = self.rates.state(server)
        async with state.asking:
            # Another request may have proved the connection meanwhile.
            if not self.is_needed(server, limit, link):
                return None
            capacity = self.rates.shared_limit(server, limit).capacity
            cold = self.rates.knowledge.is_cold(server)
            permit = await self.client.ask(server, capacity, cold)
            self.note_answer(server, permit)
        return permit

    def note_answer(self, server: BackendServer, permit: Permit) -> None:
        """Record what other processes answered to a question."""
        state, rates = self.rates.state(server), self.rates
        rates.reporter.count_permit(server, permit.grant)
        if permit.grant is not Grant.REFUSED:
            state.refused_seconds = 0.0
            if permit.grant is Grant.RUNNING:
                rates.proofs.note_running(server, permit.asked_at)
            return
        longer = max(2 * state.refused_seconds, REFUSED_SECONDS)
        state.refused_seconds = min(longer, MAX_REFUSED_SECONDS)
        state.refused_until = rates.clock.monotonic() + state.refused_seconds

    def use(self, permit: Permit | None) -> SendRecord | None:
        """Return the record of a request that another process counts, if one does."""
        if permit is None or permit.grant is not Grant.PERMIT:
            return None
        clock = self.rates.clock
        if clock.monotonic_with_suspend() >= permit.ends_at:
            return None
        return SendRecord(sent_at=clock.monotonic())

    def lend(self, start: ServerStart) -> Grant:
        """Answer another process that asks about a request to a server start."""
        rates = self.rates
        server = rates.directory.servers.get(start.id)
        limit = rates.limit(server) if server is not None else None
        if limit is None or server.start != start:
            return Grant.REFUSED
        if not rates.knowledge.is_cold(server) and rates.proofs.is_running(server):
            return Grant.RUNNING
        record = rates.reserve(server, limit)
        if record is None:
            return Grant.REFUSED
        now = rates.clock.monotonic()
        rates.state(server).limiter.begin(record, now)
        record.arrived_by = now + PERMIT_SECONDS
        return Grant.PERMIT
