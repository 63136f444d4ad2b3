"""Token bucket: limits how often something happens, and allows bursts."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Token bucket with the time passed in.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Most tokens that it holds; it starts full.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    tokens : float
        Tokens that may be taken now.
    """

    def __init__(self, rate: float, burst: float, now: float):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at = now

    def take(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        earned = (now - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
