"""Crash gossip between neighbours: encoding, validation, forwarding and its limits."""

import asyncio
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.crashgossip import MAX_PER_MESSAGE, CrashGossip, decode, encode
from gypsumshift.httpserver import Request
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Row
from gypsumshift.serving.crashtable import REPORT_WRITE_DELAYS_S, CrashTable
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.quarantine import (
    CRASH_LIMIT,
    MAX_CRASHES_PER_RECORD,
    TRIAL_DELAYS_S,
    Crash,
    Quarantine,
)
from gypsumshift.serving.trialclaims import CRASHES_TABLE, trial_key
from tests.builders import ManualClock

ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


class NoNeighbours:
    """Stand-in for a `StorePath` without neighbours."""

    neighbours = {}


class UnavailableStore(MemoryTables):
    """Store whose commits always fail."""

    async def commit(self, writes):
        return Unavailable("down")


def make(store=None):
    clock = ManualClock()
    quarantine = Quarantine(clock)
    chance = random.Random(1)
    table = CrashTable(store or MemoryTables(), quarantine, clock, chance)
    return CrashGossip(table, NoNeighbours(), clock, chance), table, clock


def crash(number=0, seen_at=990.0, fingerprint="f"):
    start = ServerStart(f"s{number}", 7)
    return Crash(f"{fingerprint}/p/{number}", fingerprint, "r", start, seen_at)


def receive(gossip, crashes=(), trials=()):
    body = json.dumps(encode(list(crashes), list(trials), 1000.0)).encode()
    return asyncio.run(gossip.serve(Request("POST", "/", "", [], body)))


def test_a_message_is_decoded_to_the_encoded_crashes_and_trials():
    crashes, trials = [crash(1), crash(2, 999.5)], [trial_key("f", 1)]
    assert decode(encode(crashes, trials, 1000.0), 1000.0) == (crashes, trials)


@given(ANY_JSON)
def test_any_json_is_decoded_within_limits_or_raises_value_error(message):
    try:
        crashes, trials = decode(message, 1000.0)
    except ValueError:
        return
    assert len(crashes) <= MAX_PER_MESSAGE and len(trials) <= MAX_PER_MESSAGE


@pytest.mark.parametrize("body", [b"", b"[", b"[]", b"[" * 100_000, b"\xff"])
def test_a_body_that_is_no_valid_message_is_answered_with_400(body):
    gossip, table, _ = make()
    answer = asyncio.run(gossip.serve(Request("POST", "/", "", [], body)))
    assert answer.status == 400 and not table.quarantine.records


def test_reported_crashes_are_counted_but_not_queued_for_writing_at_once():
    gossip, table, _ = make()
    for _ in range(2):
        assert receive(gossip, map(crash, range(CRASH_LIMIT))).status == 200
    assert table.quarantine.is_held_back("f")
    assert not table.writer.pending_writes, "the process that observed them writes them"


def test_a_reported_crash_is_written_after_a_delay_if_no_other_process_writes_it():
    """A process that observed three crashes was killed before the store had them."""
    gossip, table, clock = make()
    table.watch.current_at = clock.monotonic()
    receive(gossip, map(crash, range(2)))
    table.apply_row(
        Row(CRASHES_TABLE, crash(0).key, 1, table.writer.row_value(crash(0)))
    )
    table.sweep()
    assert not table.writer.pending_writes
    clock.advance(REPORT_WRITE_DELAYS_S[1])
    table.sweep()
    assert not table.writer.pending_writes, "with an outdated copy it writes nothing"
    table.watch.current_at = clock.monotonic()
    table.sweep()
    assert list(table.writer.pending_writes) == [crash(1).key]


def test_a_snapshot_removes_only_crashes_that_the_store_had_before():
    gossip, table, _ = make()
    receive(gossip, [crash(0)])
    value = {"server": "s1", "born": 0, "request": "r", "at": 0.0}
    table.apply_snapshot([Row(CRASHES_TABLE, "f/q/1", 1, value)])
    assert table.quarantine.crash_count("f") == 2
    table.apply_snapshot([])
    assert table.quarantine.crash_count("f") == 1


def test_a_trial_reported_by_a_neighbour_postpones_the_own_one():
    gossip, table, clock = make()
    receive(gossip, map(crash, range(CRASH_LIMIT)))
    clock.advance(TRIAL_DELAYS_S[0])
    assert table.quarantine.is_trial_due("f")
    receive(gossip, trials=[trial_key("f", 1), "f/trial/none", "g/trial/1"])
    assert table.quarantine.trial_count("f") == 1 and not table.quarantine.is_trial_due(
        "f"
    )


def test_a_crash_is_not_sent_to_neighbours_before_its_write_is_delayed():
    gossip, table, clock = make()
    table.writer.queue_write(crash(seen_at=clock.monotonic()))
    assert gossip.take_unsent() == ([], [])
    clock.advance(1)
    assert len(gossip.take_unsent()[0]) == 1


def test_a_message_contains_a_limited_number_of_the_newest_crashes():
    gossip, table, clock = make(UnavailableStore())
    for number in range(3 * MAX_PER_MESSAGE):
        table.writer.queue_write(crash(number, fingerprint=f"f{number}"))
    crashes, _ = gossip.take_unsent()
    assert len(crashes) == MAX_PER_MESSAGE and crashes[-1].key.startswith("f59")


def test_a_crash_that_cannot_be_recorded_is_not_forwarded():
    """Two processes without room for a crash sent it to each other endlessly.

    Neither could record it, so each took it for new and forwarded it at once. Seed 43
    of the simulation never ended and took 8 GB of memory.
    """
    gossip, table, clock = make()
    for number in range(MAX_CRASHES_PER_RECORD):
        table.quarantine.add_crash(crash(number, seen_at=number * 2.0))
    assert not table.add_reported_crash(crash(MAX_CRASHES_PER_RECORD))
    receive(gossip, [crash(MAX_CRASHES_PER_RECORD)])
    assert gossip.take_unsent() == ([], [])


def test_a_new_crash_is_forwarded_once():
    gossip, table, _ = make()
    receive(gossip, [crash(1)])
    assert gossip.take_unsent() == ([crash(1)], [])
    receive(gossip, [crash(1)])
    assert gossip.take_unsent() == ([], [])


def test_the_number_of_crashes_to_forward_is_limited():
    gossip, table, _ = make()
    for number in range(5):
        crashes = [
            crash(n, fingerprint=f"f{number}.{n}") for n in range(2 * MAX_PER_MESSAGE)
        ]
        receive(gossip, crashes)
    assert len(gossip.to_forward) <= MAX_PER_MESSAGE
    assert len(gossip.take_unsent()[0]) <= MAX_PER_MESSAGE
