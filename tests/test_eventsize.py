"""Estimated tokens per event, which relate lengths of items to the engines' paces."""

from gypsumshift.jobs.eventsize import MAX_ITEMS, EventSize
from gypsumshift.jobs.records import Heartbeat
from gypsumshift.jobs.rowcodec import from_row
from tests.agent_heartbeats import agent_with_results
from tests.virtual_time import run_in_virtual_time


def test_event_size_is_the_average_of_the_last_items():
    size = EventSize()
    assert size.tokens_per_event() == 0.0
    for tokens, events in ((100, 0), (0, 10), (100, 2), (100, 3)):
        size.record_item(tokens, events)
    assert size.tokens_per_event() == 40.0
    for _ in range(MAX_ITEMS):
        size.record_item(30, 3)
    assert size.tokens_per_event() == 10.0


def test_heartbeats_report_the_tokens_per_event_of_completed_items():
    async def scenario():
        heartbeat = await agent_with_results(length=5)
        assert heartbeat.event_tokens == 2.0

    run_in_virtual_time(scenario)


def test_heartbeat_of_an_older_version_reports_no_tokens_per_event():
    assert from_row({"session": "s", "beat": 1}, Heartbeat).event_tokens == 0.0
