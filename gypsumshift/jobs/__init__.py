"""Batch jobs of trainers, from their submission to their results."""

from gypsumshift.jobs.engine import EngineClient, EngineProtocol, EngineReport, Event
from gypsumshift.jobs.jobmanager import JobManager
from gypsumshift.jobs.records import (
    Item,
    Job,
    Result,
    ResultState,
    RewardCall,
    Unit,
)
from gypsumshift.jobs.schedule import split_into_units

__all__ = [
    "JobManager",
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
    "split_into_units",
]
