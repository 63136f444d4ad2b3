"""Budgets: how many retries a workspace may cause."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Retries as a share of the requests, with a burst after a quiet time.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    burst : int
        Retries held at the most.
    """

    def __init__(self, ratio: float, burst: int):
        self.ratio = ratio
        self.burst = burst
        self.tokens = float(burst)

    def record_request(self) -> None:
        """Count a request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry; return whether there was one left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
