"""Interface of the rules that decide which calls of this process are sent."""

import abc
import enum

import attrs

from gypsumshift.serving.capacitycorrection import ServiceState
from gypsumshift.serving.fairqueue import Ticket
from gypsumshift.serving.fairshares import ShareKey

__all__ = [
    "SENT_UNCONTENDED",
    "AdmissionRule",
    "Decision",
    "Figures",
    "LoadSource",
    "Verdict",
]


class Verdict(enum.StrEnum):
    """What becomes of a call."""

    SENT = "sent"
    WAITS = "waits"
    REFUSED = "refused"


@attrs.frozen
class Figures:
    """Figures that decided about a call.

    Attributes
    ----------
    capacity, demand, share : float
        Places of the service after correction, demand for it in places, and the share
        of the demand of the call's key that is sent.
    waiting : int
        Calls waiting in this process.
    expected_wait : float
        Seconds until the call's turn.
    utilization : float
    load_age, demand_age : float
        Ages of the reports and of the demands of others, in seconds.
    others : int
        Processes whose demand is included.
    """

    capacity: float
    demand: float
    share: float
    waiting: int
    expected_wait: float
    utilization: float
    load_age: float
    demand_age: float
    others: int


@attrs.frozen
class Decision:
    """Decision about one call.

    Attributes
    ----------
    verdict : Verdict
    reason : str
    retry_after : float
        Seconds after which a refused call is to be tried again.
    figures : Figures or None
        None where the service is not contended.
    """

    verdict: Verdict
    reason: str = ""
    retry_after: float = 0.0
    figures: Figures | None = None


SENT_UNCONTENDED = Decision(Verdict.SENT)


class AdmissionRule(abc.ABC):
    """Decides which calls of this process are sent, wait or are refused."""

    @abc.abstractmethod
    def offer(self, ticket: Ticket) -> Decision:
        """Decide about a new call; a waiting one is decided later by `poll`."""

    @abc.abstractmethod
    def poll(self, service: str) -> int:
        """Decide about waiting calls as far as possible; return how many still wait."""

    @abc.abstractmethod
    def withdraw(self, ticket: Ticket) -> None:
        """Cancel a waiting call whose caller left."""

    @abc.abstractmethod
    def knows_load(self, service: str) -> bool:
        """Return whether servers have lately reported the load of a service."""

    @abc.abstractmethod
    def refuse(self, ticket: Ticket) -> float:
        """Register a refusal; return the seconds until a retry."""

    @abc.abstractmethod
    def record_answer(
        self, service: str, key: ShareKey, seconds: float, slowdown: float
    ) -> None:
        """Record how long a call occupied a server until its answer.

        Parameters
        ----------
        service : str
        key : ShareKey
        seconds, slowdown : float
            Time to the answer, and the slowdown that the server's host reported.
        """


class LoadSource(abc.ABC):
    """Reported load of services."""

    @abc.abstractmethod
    def state(self, service: str) -> ServiceState | None:
        """Return the present state; None if no server has reported its load lately."""

    def state_without_places(self, service: str) -> ServiceState | None:
        """Return the present state, whose places may not be computed yet.

        Each call and each answer asks for it, and few services are contended.
        """
        return self.state(service)

    def utilization(self, service: str) -> float | None:
        """Return the utilization in the present state; None if there is no state."""
        state = self.state_without_places(service)
        return state.utilization if state is not None else None
