"""Jobs: batch jobs of trainers, from their acceptance to their results."""

from gypsumshift.jobs.desk import Desk
from gypsumshift.jobs.engine import EngineClient, EngineProtocol, EngineReport, Event
from gypsumshift.jobs.model import (
    Item,
    Job,
    Result,
    ResultState,
    RewardCall,
    Unit,
)
from gypsumshift.jobs.schedule import split

__all__ = [
    "Desk",
    "EngineClient",
    "EngineProtocol",
    "EngineReport",
    "Event",
    "Item",
    "Job",
    "Result",
    "ResultState",
    "RewardCall",
    "Unit",
    "split",
]
