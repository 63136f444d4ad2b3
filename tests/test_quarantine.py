"""Quarantine of requests that crash servers, with a manual clock and no network."""

import collections

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.quarantine import (
    CRASH_LIMIT,
    CRASH_RETENTION_S,
    DUPLICATE_WINDOW_S,
    FAILED_TRIAL_DELAY_S,
    MAX_CRASHES_PER_RECORD,
    MAX_RECORDS,
    TRIAL_DELAYS_S,
    Crash,
    Quarantine,
)
from tests.builders import ManualClock

FIRST_DELAY_S, SECOND_DELAY_S = TRIAL_DELAYS_S


def crash(clock, key, fingerprint="f", server=None, born=0):
    start = ServerStart(server or f"s-{key}", born)
    return Crash(key, fingerprint, f"r-{key}", start, clock.monotonic())


def make(crash_count=0, fingerprint="f"):
    """Return a quarantine with a number of crashes under one request, and its clock."""
    clock = ManualClock()
    quarantine = Quarantine(clock)
    for number in range(crash_count):
        quarantine.add_crash(crash(clock, f"{fingerprint}{number}", fingerprint))
    return quarantine, clock


def test_a_request_is_held_back_after_three_server_crashes():
    quarantine, _ = make(crash_count=CRASH_LIMIT - 1)
    assert not quarantine.is_held_back("f")
    quarantine, _ = make(crash_count=CRASH_LIMIT)
    assert quarantine.is_held_back("f") and not quarantine.is_held_back("another")


def test_one_crash_that_several_processes_report_counts_once():
    quarantine, clock = make()
    for key in range(5):
        quarantine.add_crash(crash(clock, key, server="s"))
        clock.advance(DUPLICATE_WINDOW_S / 10)
    assert quarantine.crash_count("f") == 1


def test_a_crash_that_is_added_twice_counts_once():
    quarantine, clock = make()
    added = crash(clock, "a")
    clock.advance(5)
    for _ in range(2):
        quarantine.add_crash(added)
    assert quarantine.crash_count("f") == 1


def test_later_crashes_of_a_server_without_start_time_are_counted_each():
    quarantine, clock = make()
    for key in range(CRASH_LIMIT):
        quarantine.add_crash(crash(clock, key, server="s"))
        clock.advance(3)
    assert quarantine.is_held_back("f")


def test_a_request_that_ran_beside_one_with_more_crashes_is_not_held_back():
    quarantine, clock = make(crash_count=CRASH_LIMIT)
    for number in range(CRASH_LIMIT):
        beside = crash(clock, f"beside {number}", "beside", server=f"s-f{number}")
        quarantine.add_crash(beside)
    assert quarantine.is_held_back("f") and quarantine.is_held_back("beside")
    quarantine.add_crash(crash(clock, "f trial"))
    assert quarantine.is_held_back("f") and not quarantine.is_held_back("beside")
    quarantine.add_crash(crash(clock, "alone", "beside"))
    assert quarantine.is_held_back("beside"), "it crashed a server alone as well"


def test_two_held_back_requests_must_not_run_at_one_server():
    """The crash of the server counts for both; a sound request lost its trial so."""
    quarantine, clock = make(crash_count=CRASH_LIMIT)
    for number in range(CRASH_LIMIT):
        quarantine.add_crash(crash(clock, f"g{number}", "g"))
    for number in range(CRASH_LIMIT - 1):
        quarantine.add_crash(crash(clock, f"h{number}", "h"))
    assert quarantine.must_run_apart("f", ["h", "g", "unknown"])
    assert not quarantine.must_run_apart("f", ["f", "h", "unknown"])
    assert not quarantine.must_run_apart("h", ["f", "g"])


def test_clear_removes_the_record_and_returns_its_crash_keys():
    quarantine, _ = make(crash_count=CRASH_LIMIT)
    assert sorted(quarantine.clear("f")) == ["f0", "f1", "f2"]
    assert not quarantine.is_held_back("f") and not quarantine.records


def test_failed_trials_are_limited_in_number_and_increase_the_delay():
    quarantine, clock = make(crash_count=CRASH_LIMIT)
    for number, pause in enumerate((FIRST_DELAY_S, FAILED_TRIAL_DELAY_S), 1):
        assert not quarantine.is_trial_due("f")
        assert quarantine.seconds_to_trial("f") == pause
        clock.advance(pause)
        assert quarantine.is_trial_due("f")
        quarantine.record_trial("f", number)
        clock.advance(0.125)
        quarantine.add_crash(crash(clock, f"trial {number}"))
    clock.advance(100)
    assert not quarantine.is_trial_due("f")
    assert quarantine.seconds_to_trial("f") == CRASH_RETENTION_S - 100


def test_after_a_trial_without_crash_the_next_one_is_due_after_the_second_delay():
    quarantine, clock = make(crash_count=CRASH_LIMIT)
    clock.advance(FIRST_DELAY_S)
    quarantine.record_trial("f", 1)
    clock.advance(SECOND_DELAY_S)
    assert quarantine.is_trial_due("f")


def test_a_withdrawn_trial_is_due_again_after_the_first_delay():
    quarantine, clock = make(crash_count=CRASH_LIMIT)
    clock.advance(FIRST_DELAY_S)
    quarantine.record_trial("f", 1)
    clock.advance(SECOND_DELAY_S)
    quarantine.record_trial("f", 2)
    quarantine.withdraw_trial("f", 2)
    assert quarantine.seconds_to_trial("f") == FIRST_DELAY_S
    clock.advance(FIRST_DELAY_S)
    assert quarantine.is_trial_due("f")


def test_the_trial_count_ignores_lower_numbers_and_their_withdrawal():
    quarantine, clock = make(crash_count=CRASH_LIMIT)
    clock.advance(FIRST_DELAY_S)
    quarantine.record_trial("f", 2)
    quarantine.record_trial("f", 1)
    assert quarantine.trial_count("f") == 2
    quarantine.withdraw_trial("f", 1)
    assert quarantine.trial_count("f") == 2


def test_crashes_are_removed_after_the_retention_time():
    quarantine, clock = make(crash_count=CRASH_LIMIT)
    clock.advance(CRASH_RETENTION_S - 1)
    quarantine.remove_expired()
    assert quarantine.is_held_back("f")
    clock.advance(2)
    quarantine.remove_expired()
    assert not quarantine.records


def test_a_crash_older_than_the_retention_time_is_not_recorded():
    quarantine, clock = make()
    old = crash(clock, "a")
    clock.advance(CRASH_RETENTION_S + 1)
    assert quarantine.add_crash(old) == [] and not quarantine.records


def test_a_flood_of_different_requests_is_limited_and_evicts_no_held_back_request():
    quarantine, clock = make(crash_count=CRASH_LIMIT)
    removed = []
    for number in range(10 * MAX_RECORDS):
        clock.advance(0.01)
        removed += quarantine.add_crash(crash(clock, number, f"other {number}"))
        assert len(quarantine.records) <= MAX_RECORDS
    assert quarantine.is_held_back("f")
    assert removed[:2] == [0, 1], "the oldest are evicted and their keys returned"


def test_the_number_of_crashes_recorded_for_one_request_is_limited():
    quarantine, clock = make()
    for key in range(10 * MAX_CRASHES_PER_RECORD):
        clock.advance(2)
        quarantine.add_crash(crash(clock, key))
    assert len(quarantine.crashes("f")) == MAX_CRASHES_PER_RECORD


class QuarantineMachine(RuleBasedStateMachine):
    """Compares crashes, trials, answers and removals with a plain model."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock)
        self.expected = collections.defaultdict(dict)
        self.trials_run = collections.Counter()
        self.keys = 0

    names = st.sampled_from("fgh")

    @rule(name=names, server=st.sampled_from("abcd"))
    def crash(self, name, server):
        self.keys += 1
        added = crash(self.clock, self.keys, name, server, born=1)
        self.quarantine.add_crash(added)
        if len(self.expected[name]) < MAX_CRASHES_PER_RECORD:
            self.expected[name][added.key] = added

    @rule(seconds=st.floats(0.0, 30.0))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(name=names)
    def answer(self, name):
        assert sorted(self.quarantine.clear(name)) == sorted(
            self.expected.pop(name, {})
        )
        self.trials_run[name] = 0

    @precondition(lambda self: any(map(self.quarantine.is_trial_due, "fgh")))
    @rule(name=names, ran=st.booleans())
    def run_trial(self, name, ran):
        if not self.quarantine.is_held_back(name) or not self.quarantine.is_trial_due(
            name
        ):
            return
        number = self.quarantine.trial_count(name) + 1
        self.quarantine.record_trial(name, number)
        if ran:
            self.trials_run[name] += 1
        else:
            self.quarantine.withdraw_trial(name, number)

    @rule(name=names)
    def remove_crash(self, name):
        if self.expected[name]:
            key = next(iter(self.expected[name]))
            del self.expected[name][key]
            self.quarantine.remove_crash(name, key)
        if not self.expected[name]:
            self.trials_run[name] = 0

    @invariant()
    def each_crashed_server_is_counted(self):
        for name, crashes in self.expected.items():
            servers = {crash.start.id for crash in crashes.values()}
            assert self.quarantine.crash_count(name) >= len(servers)
            assert bool(self.quarantine.crash_count(name)) == bool(servers)

    @invariant()
    def trials_are_limited(self):
        assert all(count <= len(TRIAL_DELAYS_S) for count in self.trials_run.values())


TestQuarantine = QuarantineMachine.TestCase
