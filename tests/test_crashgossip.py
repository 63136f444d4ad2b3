"""What neighbours tell each other of crashes: bounded, and only what they may."""

import asyncio
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.crashgossip import MAX_PER_MESSAGE, CrashGossip, decode, encode
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Row
from gypsumshift.server import Request
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

ANY = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


class NoPath:
    """A process that knows no other."""

    neighbours = {}


class Down(MemoryTables):
    """Tables that take nothing."""

    async def commit(self, writes):
        return Unavailable("down")


def make(store=None):
    clock = ManualClock()
    quarantine = Quarantine(clock)
    chance = random.Random(1)
    table = CrashTable(store or MemoryTables(), quarantine, clock, chance)
    return CrashGossip(table, NoPath(), clock, chance), table, clock


def crash(number=0, seen_at=990.0, fingerprint="f"):
    start = ServerStart(f"s{number}", 7)
    return Crash(f"{fingerprint}/p/{number}", fingerprint, "r", start, seen_at)


def hear(news, crashes=(), trials=()):
    body = json.dumps(encode(list(crashes), list(trials), 1000.0)).encode()
    return asyncio.run(news.serve(Request("POST", "/", "", [], body)))


def test_news_are_read_as_they_were_told():
    crashes, trials = [crash(1), crash(2, 999.5)], [trial_key("f", 1)]
    assert decode(encode(crashes, trials, 1000.0), 1000.0) == (crashes, trials)


@given(ANY)
def test_foreign_news_are_refused_and_end_nothing(news):
    try:
        crashes, trials = decode(news, 1000.0)
    except ValueError:
        return
    assert len(crashes) <= MAX_PER_MESSAGE and len(trials) <= MAX_PER_MESSAGE


@pytest.mark.parametrize("body", [b"", b"[", b"[]", b"[" * 100_000, b"\xff"])
def test_a_body_that_is_no_news_is_answered_400(body):
    news, table, _ = make()
    answer = asyncio.run(news.serve(Request("POST", "/", "", [], body)))
    assert answer.status == 400 and not table.quarantine.records


def test_what_neighbours_tell_counts_and_waits_for_the_one_that_saw_it():
    news, table, _ = make()
    for _ in range(2):
        assert hear(news, map(crash, range(CRASH_LIMIT))).status == 200
    assert table.quarantine.is_held_back("f")
    assert not table.pending_writes, "who saw them writes them"


def test_what_neighbours_told_is_written_here_where_nobody_else_does():
    """A process that saw three ends was killed before the store took them."""
    news, table, clock = make()
    table.watch.current_at = clock.monotonic()
    hear(news, map(crash, range(2)))
    table.apply_row(Row(CRASHES_TABLE, crash(0).key, 1, table.row_value(crash(0))))
    table.sweep()
    assert not table.pending_writes
    clock.advance(REPORT_WRITE_DELAYS_S[1])
    table.sweep()
    assert not table.pending_writes, "cut off, it writes nothing"
    table.watch.current_at = clock.monotonic()
    table.sweep()
    assert list(table.pending_writes) == [crash(1).key]


def test_a_whole_table_leaves_what_it_never_held():
    news, table, _ = make()
    hear(news, [crash(0)])
    value = {"server": "s1", "born": 0, "request": "r", "at": 0.0}
    table.apply_snapshot([Row(CRASHES_TABLE, "f/q/1", 1, value)])
    assert table.quarantine.crash_count("f") == 2
    table.apply_snapshot([])
    assert table.quarantine.crash_count("f") == 1


def test_a_trial_that_a_neighbour_made_puts_the_own_one_off():
    news, table, clock = make()
    hear(news, map(crash, range(CRASH_LIMIT)))
    clock.advance(TRIAL_DELAYS_S[0])
    assert table.quarantine.is_trial_due("f")
    hear(news, trials=[trial_key("f", 1), "f/trial/none", "g/trial/1"])
    assert table.quarantine.trial_count("f") == 1 and not table.quarantine.is_trial_due(
        "f"
    )


def test_what_the_store_takes_at_once_is_not_told_to_neighbours():
    news, table, clock = make()
    table.queue_write(crash(seen_at=clock.monotonic()))
    assert news.take_unsent() == ([], [])
    clock.advance(1)
    assert len(news.take_unsent()[0]) == 1


def test_what_is_told_at_once_is_bounded_and_the_newest():
    news, table, clock = make(Down())
    for number in range(3 * MAX_PER_MESSAGE):
        table.queue_write(crash(number, fingerprint=f"f{number}"))
    crashes, _ = news.take_unsent()
    assert len(crashes) == MAX_PER_MESSAGE and crashes[-1].key.startswith("f59")


def test_what_there_is_no_room_to_keep_is_not_passed_on():
    """Two processes that had no room told each other of it without end.

    Each took it for new, since it knew it not, and passed it on at once: the seed 43 of
    the simulation never ended, and took 8 GB.
    """
    news, table, clock = make()
    for number in range(MAX_CRASHES_PER_RECORD):
        table.quarantine.add_crash(crash(number, seen_at=number * 2.0))
    assert not table.add_reported_crash(crash(MAX_CRASHES_PER_RECORD))
    hear(news, [crash(MAX_CRASHES_PER_RECORD)])
    assert news.take_unsent() == ([], [])


def test_what_is_new_is_passed_on_once():
    news, table, _ = make()
    hear(news, [crash(1)])
    assert news.take_unsent() == ([crash(1)], [])
    hear(news, [crash(1)])
    assert news.take_unsent() == ([], [])


def test_what_is_passed_on_at_once_is_bounded():
    news, table, _ = make()
    for number in range(5):
        told = [
            crash(n, fingerprint=f"f{number}.{n}") for n in range(2 * MAX_PER_MESSAGE)
        ]
        hear(news, told)
    assert len(news.to_forward) <= MAX_PER_MESSAGE
    assert len(news.take_unsent()[0]) <= MAX_PER_MESSAGE
