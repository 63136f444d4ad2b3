"""Statistics of backend servers that one process collects."""

import math

import attrs

__all__ = ["ServerStats"]


@attrs.define
class ServerStats:
    """Statistics that one process has collected about one backend server.

    Attributes
    ----------
    outstanding : int
        Requests sent to the server that are still open.
    busy, busy_reported_at : float
        Number of requests running and waiting there as last reported, and the time of
        the report in seconds.
    latency : float
        Moving average of the time to an answer over the reported slowdown, in seconds;
        0 before the first.
    consecutive_failures : int
    failed_share : float
        Moving average of the share of failed requests, 0 to 1.
    consecutive_ejections : int
    avoided_until : float
        Time before which the server is avoided, in seconds.
    last_outcome_at : float
        Time at which a request last succeeded, failed or was cancelled unanswered, in
        seconds.
    lost_until : float
        Time until which the server counts as lost unless it answers, in seconds.
    """

    outstanding: int = 0
    busy: float = 0.0
    busy_reported_at: float = 0.0
    latency: float = 0.0
    consecutive_failures: int = 0
    failed_share: float = 0.0
    consecutive_ejections: int = 0
    avoided_until: float = 0.0
    last_outcome_at: float = -math.inf
    lost_until: float = 0.0
