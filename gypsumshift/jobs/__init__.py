"""Jobs: batch jobs of trainers, from their acceptance to their results."""

from gypsumshift.jobs.desk import Desk
from gypsumshift.jobs.engine import Engine, EngineProtocol, EngineReport, Event
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
    "Engine",
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
