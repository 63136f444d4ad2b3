"""Check of one request to a server right before it is sent."""

from typing import TYPE_CHECKING

from gypsumshift.serving.cold.limiter import SendRecord
from gypsumshift.serving.cold.permits import Permit
from gypsumshift.serving.cold.proofs import Link
from gypsumshift.serving.directory import BackendServer

if TYPE_CHECKING:
    from gypsumshift.serving.coldrates import ColdRates

__all__ = ["SendCheck"]


class SendCheck:
    """Check of one request right before it is sent, and account of its arrival.

    Parameters
    ----------
    rates : ColdRates
    server : BackendServer
    request_id : str

    Attributes
    ----------
    record : SendRecord or None
        None until the request is sent.
    asked_at : float
        When it was sent, by the monotonic clock.
    link : Link or None
        Connection on which it will be sent; None if that is unknown.
    permit : Permit or None
        What another process answered to the question whether it may be sent.
    """

    def __init__(self, rates: "ColdRates", server: BackendServer, request_id: str):
        self.rates = rates
        self.server = server
        self.request_id = request_id
        self.record: SendRecord | None = None
        self.asked_at = 0.0
        self.link: Link | None = None
        self.permit: Permit | None = None

    async def prepare(self, link: Link) -> None:
        """Take the connection of the request, and ask for a permit if it needs one."""
        self.link = link
        limit = self.rates.limit(self.server)
        if limit is not None:
            self.permit = await self.rates.lending.ask(self.server, limit, link)

    def __call__(self) -> bool:
        """Count the request as sent; return False if it must not be sent now."""
        rates = self.rates
        limit = rates.limit(self.server)
        if limit is None:
            return True
        self.asked_at = rates.clock.monotonic()
        self.record = rates.begin_send(
            self.server, self.request_id, limit, self.link, self.permit
        )
        if self.record is None:
            rates.reporter.count_withheld(self.server)
        return self.record is not None

    def settle(self) -> None:
        """Record that the request has arrived, or was given up."""
        if self.record is not None:
            now = self.rates.clock.monotonic()
            self.rates.state(self.server).limiter.settle(self.record, now)

    def note_answer(self, status_not_here: bool, cold_left: str) -> None:
        """Record an answer: the request does not count if another server answered."""
        if status_not_here and self.record is not None:
            self.rates.state(self.server).limiter.cancel(self.record)
        if status_not_here:
            return
        if cold_left and self.record is not None and not self.record.proved:
            # The start that answers may be a new one; the others went to the old one.
            self.rates.state(self.server).limiter.drop_proved()
        self.rates.note_answer(self.server, cold_left, self.asked_at)
