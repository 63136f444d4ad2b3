"""Which requests are held back, decided without a network and by a clock of its own."""

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

FIRST, SECOND = TRIAL_DELAYS_S


def crash(clock, key, fingerprint="f", server=None, born=0):
    start = ServerStart(server or f"s-{key}", born)
    return Crash(key, fingerprint, f"r-{key}", start, clock.monotonic())


def make(ends=0, fingerprint="f"):
    """Return a quarantine in which servers ended under a request."""
    clock = ManualClock()
    quarantine = Quarantine(clock)
    for number in range(ends):
        quarantine.add_crash(crash(clock, f"{fingerprint}{number}", fingerprint))
    return quarantine, clock


def test_a_request_is_held_back_once_three_servers_ended_under_it():
    quarantine, _ = make(ends=CRASH_LIMIT - 1)
    assert not quarantine.is_held_back("f")
    quarantine, _ = make(ends=CRASH_LIMIT)
    assert quarantine.is_held_back("f") and not quarantine.is_held_back("another")


def test_one_end_that_several_processes_tell_counts_once():
    quarantine, clock = make()
    for key in range(5):
        quarantine.add_crash(crash(clock, key, server="s"))
        clock.advance(DUPLICATE_WINDOW_S / 10)
    assert quarantine.crash_count("f") == 1


def test_a_crash_that_is_told_twice_counts_once():
    quarantine, clock = make()
    told = crash(clock, "a")
    clock.advance(5)
    for _ in range(2):
        quarantine.add_crash(told)
    assert quarantine.crash_count("f") == 1


def test_a_server_that_tells_no_start_and_ends_again_counts_again():
    quarantine, clock = make()
    for key in range(CRASH_LIMIT):
        quarantine.add_crash(crash(clock, key, server="s"))
        clock.advance(3)
    assert quarantine.is_held_back("f")


def test_a_request_that_only_ran_beside_one_that_ended_more_is_let_go():
    quarantine, clock = make(ends=CRASH_LIMIT)
    for number in range(CRASH_LIMIT):
        beside = crash(clock, f"beside {number}", "beside", server=f"s-f{number}")
        quarantine.add_crash(beside)
    assert quarantine.is_held_back("f") and quarantine.is_held_back("beside")
    quarantine.add_crash(crash(clock, "f trial"))
    assert quarantine.is_held_back("f") and not quarantine.is_held_back("beside")
    quarantine.add_crash(crash(clock, "alone", "beside"))
    assert quarantine.is_held_back("beside"), "this one it did not run beside"


def test_two_that_are_held_back_are_not_tried_side_by_side():
    """Each is blamed for the end of the one server: a sound one lost its trial so."""
    quarantine, clock = make(ends=CRASH_LIMIT)
    for number in range(CRASH_LIMIT):
        quarantine.add_crash(crash(clock, f"g{number}", "g"))
    for number in range(CRASH_LIMIT - 1):
        quarantine.add_crash(crash(clock, f"h{number}", "h"))
    assert quarantine.must_run_apart("f", ["h", "g", "unknown"])
    assert not quarantine.must_run_apart("f", ["f", "h", "unknown"])
    assert not quarantine.must_run_apart("h", ["f", "g"])


def test_an_answer_clears_a_request():
    quarantine, _ = make(ends=CRASH_LIMIT)
    assert sorted(quarantine.clear("f")) == ["f0", "f1", "f2"]
    assert not quarantine.is_held_back("f") and not quarantine.records


def test_trials_are_few_and_wait_longer_each_time():
    quarantine, clock = make(ends=CRASH_LIMIT)
    for number, pause in enumerate((FIRST, FAILED_TRIAL_DELAY_S), 1):
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


def test_a_trial_under_which_no_server_ended_is_made_again_before_long():
    quarantine, clock = make(ends=CRASH_LIMIT)
    clock.advance(FIRST)
    quarantine.record_trial("f", 1)
    clock.advance(SECOND)
    assert quarantine.is_trial_due("f")


def test_a_trial_that_no_server_took_is_made_again_soon():
    quarantine, clock = make(ends=CRASH_LIMIT)
    clock.advance(FIRST)
    quarantine.record_trial("f", 1)
    clock.advance(SECOND)
    quarantine.record_trial("f", 2)
    quarantine.withdraw_trial("f", 2)
    assert quarantine.seconds_to_trial("f") == FIRST
    clock.advance(FIRST)
    assert quarantine.is_trial_due("f")


def test_a_trial_that_another_process_makes_is_told_once_and_never_back():
    quarantine, clock = make(ends=CRASH_LIMIT)
    clock.advance(FIRST)
    quarantine.record_trial("f", 2)
    quarantine.record_trial("f", 1)
    assert quarantine.trial_count("f") == 2
    quarantine.withdraw_trial("f", 1)
    assert quarantine.trial_count("f") == 2


def test_ends_are_forgotten_after_an_hour():
    quarantine, clock = make(ends=CRASH_LIMIT)
    clock.advance(CRASH_RETENTION_S - 1)
    quarantine.remove_expired()
    assert quarantine.is_held_back("f")
    clock.advance(2)
    quarantine.remove_expired()
    assert not quarantine.records


def test_what_is_too_old_when_it_is_told_is_not_taken():
    quarantine, clock = make()
    old = crash(clock, "a")
    clock.advance(CRASH_RETENTION_S + 1)
    assert quarantine.add_crash(old) == [] and not quarantine.records


def test_a_flood_of_different_requests_stays_small_and_leaves_who_is_held_back():
    quarantine, clock = make(ends=CRASH_LIMIT)
    removed = []
    for number in range(10 * MAX_RECORDS):
        clock.advance(0.01)
        removed += quarantine.add_crash(crash(clock, number, f"other {number}"))
        assert len(quarantine.records) <= MAX_RECORDS
    assert quarantine.is_held_back("f")
    assert removed[:2] == [0, 1], "the oldest make room, and their rows are known"


def test_what_is_kept_of_one_request_is_bounded():
    quarantine, clock = make()
    for key in range(10 * MAX_CRASHES_PER_RECORD):
        clock.advance(2)
        quarantine.add_crash(crash(clock, key))
    assert len(quarantine.crashes("f")) == MAX_CRASHES_PER_RECORD


class Machine(RuleBasedStateMachine):
    """Crashes, trials, answers and removals in any order, against a plain record."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock)
        self.known = collections.defaultdict(dict)
        self.made = collections.Counter()
        self.keys = 0

    names = st.sampled_from("fgh")

    @rule(name=names, server=st.sampled_from("abcd"))
    def crash(self, name, server):
        self.keys += 1
        told = crash(self.clock, self.keys, name, server, born=1)
        self.quarantine.add_crash(told)
        if len(self.known[name]) < MAX_CRASHES_PER_RECORD:
            self.known[name][told.key] = told

    @rule(seconds=st.floats(0.0, 30.0))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(name=names)
    def answer(self, name):
        assert sorted(self.quarantine.clear(name)) == sorted(self.known.pop(name, {}))
        self.made[name] = 0

    @precondition(lambda self: any(map(self.quarantine.is_trial_due, "fgh")))
    @rule(name=names, taken=st.booleans())
    def try_again(self, name, taken):
        if not self.quarantine.is_held_back(name) or not self.quarantine.is_trial_due(
            name
        ):
            return
        number = self.quarantine.trial_count(name) + 1
        self.quarantine.record_trial(name, number)
        if taken:
            self.made[name] += 1
        else:
            self.quarantine.withdraw_trial(name, number)

    @rule(name=names)
    def remove_one(self, name):
        if self.known[name]:
            key = next(iter(self.known[name]))
            del self.known[name][key]
            self.quarantine.remove_crash(name, key)
        if not self.known[name]:
            self.made[name] = 0

    @invariant()
    def ends_are_counted_by_server(self):
        for name, known in self.known.items():
            servers = {told.start.id for told in known.values()}
            assert self.quarantine.crash_count(name) >= len(servers)
            assert bool(self.quarantine.crash_count(name)) == bool(servers)

    @invariant()
    def trials_are_few(self):
        assert all(count <= len(TRIAL_DELAYS_S) for count in self.made.values())


TestQuarantine = Machine.TestCase
