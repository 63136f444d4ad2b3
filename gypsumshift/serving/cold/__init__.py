"""Rate limit of servers that have just started: limiter, knowledge and senders."""

from gypsumshift.serving.cold.knowledge import ColdKnowledge, Source
from gypsumshift.serving.cold.limiter import SendLimiter, SendRecord
from gypsumshift.serving.cold.shares import ColdBound, LimitShare

__all__ = [
    "ColdBound",
    "ColdKnowledge",
    "LimitShare",
    "SendLimiter",
    "SendRecord",
    "Source",
]
