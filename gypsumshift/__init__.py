"""gypsumshift: runs reinforcement-learning rollouts on engines that serve live traffic.

This package exports the Python client for callers and trainers.
"""

from gypsumshift.client import (
    AsyncClient,
    AsyncTrainer,
    Client,
    Delivery,
    RequestRejected,
    Trainer,
    call,
)
from gypsumshift.groups import Group, Sample
from gypsumshift.outcomes import Answered, NotRun, Outcome, Unknown

__all__ = [
    "Answered",
    "AsyncClient",
    "AsyncTrainer",
    "Client",
    "Delivery",
    "Group",
    "NotRun",
    "Outcome",
    "RequestRejected",
    "Sample",
    "Trainer",
    "Unknown",
    "call",
]
