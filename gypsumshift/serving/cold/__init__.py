"""Rate limit of servers that have just started: limiter, knowledge and senders."""

from gypsumshift.serving.cold.knowledge import ColdKnowledge, Source
from gypsumshift.serving.cold.limiter import SendLimiter, SendRecord
from gypsumshift.serving.cold.permits import Grant, Permit, PermitClient, PermitService
from gypsumshift.serving.cold.proofs import Link, StartProofs
from gypsumshift.serving.cold.shares import ColdBound, LimitShare

__all__ = [
    "ColdBound",
    "ColdKnowledge",
    "Grant",
    "LimitShare",
    "Link",
    "Permit",
    "PermitClient",
    "PermitService",
    "SendLimiter",
    "SendRecord",
    "Source",
    "StartProofs",
]
