"""Load that a backend server reports with its answers."""

import attrs

__all__ = ["ServerLoad"]


@attrs.frozen
class ServerLoad:
    """Load of a backend server at the moment of an answer.

    Attributes
    ----------
    running, waiting : int
        Number of requests that it runs, and that wait in its queue.
    slots : int
        Number of requests that it runs at once.
    slowdown : float
        How long work takes on its host now, relative to the usual time; 1.0 is usual.
        Hosts that servers share with others change it several times a second.
    reports_slowdown : bool
        Whether the server reports a slowdown at all.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    reports_slowdown: bool = False

    @property
    def busy(self) -> int:
        """Number of requests running and waiting."""
        return self.running + self.waiting
