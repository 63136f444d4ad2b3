"""Which unit an agent claims, and when a claim of another is free."""

from gypsumshift.jobs import split_into_units
from gypsumshift.jobs.capacity import FreeCapacity
from gypsumshift.jobs.claimtracker import LONG_UNIT_WAIT
from gypsumshift.jobs.heartbeatwriter import HEARTBEAT_PERIOD
from gypsumshift.jobs.peers import HEARTBEAT_TIMEOUT, MAX_TABLE_AGE
from gypsumshift.jobs.records import AGENTS, END_KEY, JOB_KEY, JOBS, Item
from gypsumshift.jobs.schedule import order_units
from gypsumshift.platforms import Row
from tests.builders import ManualClock
from tests.job_builders import MODEL, claim_row, items, job, job_row, make_tracker


def pulse(agent, session, beat, version):
    return Row(AGENTS, agent, version, {"session": session, "beat": beat})


def make_open_job(groups=2):
    clock = ManualClock()
    own = make_tracker(clock=clock)
    value = job(split_into_units(items(groups)))
    own.apply_job_rows([job_row(value)])
    return own, clock, value


def choose(own, room=8, version=1, slower=()):
    return own.choose_candidate([MODEL], {MODEL: version}, FreeCapacity(room), slower)


def test_claims_of_a_living_agent_stay():
    own, clock, _ = make_open_job(groups=1)
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    own.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    assert choose(own) is None
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(own).taken_over


def test_claims_of_a_restarted_agent_are_free_at_once():
    own, _, _ = make_open_job(groups=1)
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    own.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    own.peers.apply_rows([pulse("other", "s2", 1, 4)])
    assert choose(own) is not None


def test_a_fresh_claim_is_a_sign_of_life_before_the_heartbeat_comes():
    own, clock, _ = make_open_job(groups=1)
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    clock.advance(10 * HEARTBEAT_TIMEOUT)
    own.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    assert choose(own) is None


def test_a_claim_outlives_an_older_heartbeat_that_is_told_after_it():
    """Items of a healthy agent ran at another one as well, and their step was late.

    The agent had just started again and claimed a unit. Another agent was told the
    claim first, and then, by a table that was read a moment before, the heartbeat of
    the process before. What came last was taken for the newest, so the unit was taken.
    """
    own, _, _ = make_open_job(groups=1)
    own.apply_claim_rows([claim_row("job", "00000", "other", "s2", 5)])
    own.peers.apply_rows([pulse("other", "s", 7, 4)])
    assert choose(own) is None


def test_a_claim_of_an_ended_process_is_free_though_it_is_told_late():
    """Units waited 1.2 s for nobody after all processes had started again.

    An agent that started read the table of agents first, and then the claims of the
    processes before; each counted as a sign of life of its holder.
    """
    own, clock, _ = make_open_job(groups=1)
    own.peers.apply_rows([pulse("other", "s2", 1, 4)])
    clock.advance(0.1)
    own.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    candidate = choose(own)
    assert candidate is not None and candidate.silent_claim is None


def test_a_claim_of_a_new_process_that_is_not_heard_is_asked_for():
    own, clock, _ = make_open_job(groups=1)
    own.peers.apply_rows([pulse("other", "s", 7, 4)])
    own.apply_claim_rows([claim_row("job", "00000", "other", "s2", 5)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(own).silent_claim is not None


def test_a_candidate_is_claimed_only_as_it_was_chosen():
    """What was told while its holder was asked goes first: claims, an end, own ones."""
    own, clock, value = make_open_job(groups=2)
    for key in ("00000", "00001"):
        own.apply_claim_rows([claim_row("job", key, "other", "s", 3)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    chosen = choose(own)
    assert own.is_claimable(chosen)
    own.pending_claims["job", chosen.unit.key] = chosen
    assert not own.is_claimable(chosen), "its claim is on its way"
    own.pending_claims.clear()
    own.apply_claim_rows([claim_row("job", chosen.unit.key, "third", "t", 4)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert not own.is_claimable(chosen), "another agent held it meanwhile"
    chosen = choose(own)
    own.close_job(value.id)
    assert not own.is_claimable(chosen), "its job has ended"


def test_nobody_is_taken_for_dead_while_the_store_is_away():
    own, clock, _ = make_open_job(groups=1)
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    own.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    clock.advance(10)
    own.peers.note_store_recovered()
    assert choose(own) is None, "its heartbeats could not be heard"
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(own) is not None


def test_a_unit_stays_with_its_agent_while_the_store_is_away():
    """Claims reach a store that returns before the first heartbeat is heard."""
    own, clock, _ = make_open_job(groups=1)
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    own.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    silent_since = clock.monotonic()
    own.peers.table_current_at = lambda: silent_since
    for _ in range(100):
        clock.advance(0.1)
        assert choose(own) is None, "it may beat, and nobody hears it"
    own.peers.note_store_recovered()
    own.peers.table_current_at = clock.monotonic
    assert choose(own) is None
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(own) is not None


def test_a_host_that_was_lost_before_the_store_went_is_missed_in_time():
    own, clock, _ = make_open_job(groups=1)
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    own.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    listened = clock.monotonic()
    own.peers.table_current_at = lambda: listened
    clock.advance(MAX_TABLE_AGE)
    assert choose(own) is not None


def test_a_done_or_ended_unit_is_not_claimed():
    own, _, _ = make_open_job(groups=2)
    own.apply_claim_rows([claim_row("job", "00000", "gone", "s", 3, done=True)])
    assert choose(own).unit.key == "00001"
    own.apply_job_rows([Row(JOBS, END_KEY, 4, {"ended": True}, "job")])
    assert choose(own) is None


def test_an_engine_with_old_weights_claims_nothing():
    own, _, _ = make_open_job()
    own.apply_job_rows(
        [job_row(job(split_into_units(items(step="x")), "late", oldest_version=5))]
    )
    assert choose(own, version=0) is None
    assert choose(own, version=4).job.id == "job"


def test_a_claim_told_before_its_job_counts():
    clock = ManualClock()
    own = make_tracker(clock=clock)
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    own.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    own.apply_job_rows([job_row(job(split_into_units(items(1))))])
    assert choose(own) is None


def test_groups_of_an_earlier_step_are_begun_first():
    units = split_into_units(items(12))
    again = order_units(job(units), {"g11"})
    assert again[0].group == "g11"


def test_groups_of_jobs_that_are_removed_are_forgotten():
    own, _, value = make_open_job()
    removed = Row(JOBS, JOB_KEY, 9, None, value.id)
    own.apply_job_rows([removed])
    again = job(split_into_units(items(2)), "later")
    own.apply_job_rows([job_row(again)])
    assert own.known_groups() == {"g0", "g1"}
    own.apply_job_rows([Row(JOBS, JOB_KEY, 10, None, "later")])
    assert own.known_groups() == set()
    assert not own.ended_jobs and not own.open_jobs


def test_a_unit_for_whose_end_there_is_no_memory_is_left_to_another_engine():
    sizes = [8000, 600]
    step = [
        Item(f"{group}-{n}", "/run/", {}, b"", f"g{group}", size, memory=size)
        for group, size in enumerate(sizes)
        for n in range(2)
    ]
    own = make_tracker(clock=ManualClock())
    own.apply_job_rows([job_row(job(split_into_units(step)))])
    full = FreeCapacity(4, 22_000, (8000, 8000))
    taken = {
        own.choose_candidate([MODEL], {MODEL: 1}, full).unit.hint for _ in range(20)
    }
    assert taken == {600}


def uneven_tracker():
    """Return a board with nine short units and a long one, and its clock."""
    clock = ManualClock()
    own = make_tracker(clock=clock)
    found = [
        Item(f"i{n}", "/run/", {}, b"", f"g{n}", 100 if n == 4 else 10 + n)
        for n in range(10)
    ]
    own.apply_job_rows([job_row(job(split_into_units(found)))])
    return own, clock


def test_a_slower_engine_begins_with_short_items_and_leaves_the_long_ones():
    """At an engine that is 1.28 times slower they made their steps 2 to 3 s late."""
    own, clock = uneven_tracker()
    hints = [choose(own, slower=[MODEL]).unit.hint for _ in range(50)]
    assert set(hints) == {10, 11, 12, 13, 15, 16}
    assert 100 in {choose(own).unit.hint for _ in range(50)}
    for unit in own.open_jobs["job"].order:
        if unit.hint < 100:
            own.apply_claim_rows(
                [claim_row("job", unit.key, "other", "s", 3, done=True)]
            )
    assert choose(own, slower=[MODEL]) is None
    clock.advance(LONG_UNIT_WAIT)
    assert choose(own, slower=[MODEL]).unit.hint == 100, "nobody else took it"


def test_long_items_of_a_lost_host_are_left_to_faster_engines_too():
    """They had waited since their step came, and went to whoever was first."""
    own, clock = uneven_tracker()
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    for unit in own.open_jobs["job"].order:
        done = unit.hint < 100
        own.apply_claim_rows([claim_row("job", unit.key, "other", "s", 3, done)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(own, slower=[MODEL]) is None
    assert choose(own).unit.hint == 100
    clock.advance(LONG_UNIT_WAIT)
    assert choose(own, slower=[MODEL]).unit.hint == 100


def test_long_items_of_a_restarted_agent_are_taken_though_it_goes_on_beating():
    """Long items of an agent that had started again waited though an engine had room.

    An engine that is built slower leaves long items to faster ones for a second from
    when they became free. Each heartbeat of the new process, 0.4 s apart, counted as
    that moment, so the second never ended, and where no faster engine had room, nobody
    took them. Cause: the newest heartbeat was taken for the first of its session.
    """
    own, clock = uneven_tracker()
    own.peers.apply_rows([pulse("other", "s", 1, 2)])
    for unit in own.open_jobs["job"].order:
        done = unit.hint < 100
        own.apply_claim_rows([claim_row("job", unit.key, "other", "s", 3, done)])
    own.peers.apply_rows([pulse("other", "s2", 1, 4)])
    assert choose(own, slower=[MODEL]) is None, "a faster engine may take it"
    for number in range(2, 5):
        clock.advance(HEARTBEAT_PERIOD)
        own.peers.apply_rows([pulse("other", "s2", number, number + 3)])
    assert choose(own, slower=[MODEL]).unit.hint == 100


def beat(agent, engine, usual, places=4, version=2):
    value = {"session": f"s-{agent}", "beat": 1, "usual": usual}
    value |= {"engine": engine, "places": places}
    return Row(AGENTS, agent, version, value)


def test_faster_are_those_of_the_same_model_that_live():
    own, clock, _ = make_open_job()
    rows = [beat("a", "e1", 0.04), beat("b", "e2", 0.05), beat("c", "e3", 0.04)]
    own.peers.apply_rows(rows)
    assert [b.engine for b in own.peers.faster_engines(0.052, ["e1", "e2"])] == ["e1"]
    assert own.peers.faster_engines(0.045, ["e1", "e2"]) == [], (
        "a full engine is no slower one"
    )
    assert own.peers.faster_engines(0.0, ["e1"]) == [], "its own pace is not known"
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert own.peers.faster_engines(0.052, ["e1"]) == []
