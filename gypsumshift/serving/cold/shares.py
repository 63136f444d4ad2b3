"""Division of a cold server's limit between its agent and the gateways."""

import math

import attrs

from gypsumshift.serving.routes import ColdLimit

__all__ = [
    "BURST",
    "NO_SHARE",
    "ColdBound",
    "LimitShare",
    "divide_limit",
    "target_share",
]

# Number of requests that may be sent at once after a pause. The limit aims at the
# steady rate; the burst makes up for late timers.
BURST = 2.0
# Requests that may count beyond the rate and its burst, as each counts until a second
# after its arrival: at 9.8 requests per second, those of 0.3 s.
IN_FLIGHT = 2
# Part of the limit of a model engine that the gateways get together, if there are
# routes by which they send to it and the bound leaves no room above the agent's part.
GATEWAY_PART = 0.2


@attrs.frozen
class ColdBound:
    """How far the rate of a cold server may be exceeded, from the settings.

    Attributes
    ----------
    excess : float
        Factor on the steady rate.
    slack : float
        Number of further requests in a second.
    """

    excess: float = 1.0
    slack: float = 0.0

    def requests(self, limit: ColdLimit) -> int:
        """Return the most requests that a window of 1 s may contain."""
        return math.floor(limit.per_second * self.excess + self.slack + 1e-9)


@attrs.frozen
class LimitShare:
    """Part of a cold server's limit.

    Attributes
    ----------
    capacity : int
        Requests in a window of 1 s.
    rate : float
        Requests per second.
    """

    capacity: int
    rate: float


NO_SHARE = LimitShare(0, 0.0)


def target_share(bound: ColdBound, limit: ColdLimit) -> LimitShare:
    """Return the share of all senders of one server together."""
    wanted = math.floor(limit.per_second + BURST) + IN_FLIGHT
    return LimitShare(min(wanted, bound.requests(limit)), limit.per_second)


def divide_limit(
    bound: ColdBound, limit: ColdLimit, has_callers: bool
) -> tuple[LimitShare, LimitShare]:
    """Return the shares of a model engine's agent, and of all gateways together.

    Parameters
    ----------
    bound : ColdBound
    limit : ColdLimit
    has_callers : bool
        Whether gateways send requests of callers to the engine.
    """
    total = target_share(bound, limit)
    if not has_callers or not total.capacity:
        return total, NO_SHARE
    part = max(1, math.floor(total.capacity * GATEWAY_PART))
    spare = bound.requests(limit) - total.capacity
    gateways = LimitShare(part, min(float(part), limit.per_second * GATEWAY_PART))
    if spare >= part:
        return total, gateways
    left = LimitShare(
        total.capacity - part, min(total.rate - gateways.rate, total.capacity - part)
    )
    return left, gateways
