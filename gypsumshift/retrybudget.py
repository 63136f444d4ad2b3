"""Budget that limits the retries of one workspace."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Parameters
    ----------
    ratio : float
        Tokens added by each request; a retry takes one.
    burst : int
        Tokens held at most, which is also the number at the start.
    """

    def __init__(self, ratio: float, burst: int):
        self.ratio = ratio
        self.burst = burst
        self.tokens = float(burst)

    def record_request(self) -> None:
        """Add the tokens of one request, up to the burst."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take the token of one retry; return False if none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
