"""Choice of the unit that an agent claims, and release of other agents' claims."""

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


def heartbeat_row(agent, session, beat, version):
    return Row(AGENTS, agent, version, {"session": session, "beat": beat})


def make_tracker_with_job(groups=2):
    clock = ManualClock()
    tracker = make_tracker(clock=clock)
    value = job(split_into_units(items(groups)))
    tracker.apply_job_rows([job_row(value)])
    return tracker, clock, value


def choose(tracker, room=8, version=1, slower=()):
    return tracker.choose_candidate(
        [MODEL], {MODEL: version}, FreeCapacity(room), slower
    )


def test_admitted_steps_come_first_and_then_the_models_of_the_engine():
    clock = ManualClock()
    tracker = make_tracker(clock=clock)
    for version, (name, model) in enumerate(
        (("late", MODEL), ("other", "m2"), ("own", MODEL), ("admitted", MODEL)), 1
    ):
        value = job(split_into_units(items(1, step=name)), name, model)
        tracker.apply_job_rows([job_row(value, version)])
        clock.advance(1.0)
    ranks = {"late": 2, "other": 1, "own": 1, "admitted": 0}

    def next_job(step_ranks):
        found = tracker.choose_candidate(
            [MODEL], {MODEL: 1, "m2": 1}, FreeCapacity(2), step_ranks=step_ranks
        )
        return found.job.id if found else None

    order = []
    while found := next_job(ranks):
        order.append(found)
        tracker.close_job(found)
    assert order == ["admitted", "own", "other", "late"]


def test_a_claim_stays_with_its_agent_until_the_heartbeat_timeout():
    tracker, clock, _ = make_tracker_with_job(groups=1)
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    assert choose(tracker) is None
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(tracker).taken_over


def test_claims_of_a_restarted_agents_old_session_are_free_at_once():
    tracker, _, _ = make_tracker_with_job(groups=1)
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    tracker.peers.apply_rows([heartbeat_row("other", "s2", 1, 4)])
    assert choose(tracker) is not None


def test_a_new_claim_counts_as_a_sign_of_life_of_its_agent():
    tracker, clock, _ = make_tracker_with_job(groups=1)
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    clock.advance(10 * HEARTBEAT_TIMEOUT)
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    assert choose(tracker) is None


def test_a_claim_stays_valid_when_an_older_heartbeat_arrives_after_it():
    """Guards against taking a unit over from a healthy agent that restarted.

    The agent had just restarted and claimed a unit. Another agent received the claim
    first, and then, from a table that was read a moment before, the heartbeat of the
    old process. The row received last was treated as the newest, so the unit was taken
    over, its items ran at two agents and their step was late.
    """
    tracker, _, _ = make_tracker_with_job(groups=1)
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s2", 5)])
    tracker.peers.apply_rows([heartbeat_row("other", "s", 7, 4)])
    assert choose(tracker) is None


def test_a_claim_of_an_ended_process_is_free_at_once_if_it_arrives_late():
    """Guards against a wait of 1.2 s for ended processes after a restart of all.

    A starting agent reads the table of agents first, and then the claims of the
    previous processes. Each claim counted as a sign of life of its holder.
    """
    tracker, clock, _ = make_tracker_with_job(groups=1)
    tracker.peers.apply_rows([heartbeat_row("other", "s2", 1, 4)])
    clock.advance(0.1)
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    candidate = choose(tracker)
    assert candidate is not None and candidate.silent_claim is None


def test_a_new_process_without_heartbeat_is_probed_before_its_unit_is_claimed():
    tracker, clock, _ = make_tracker_with_job(groups=1)
    tracker.peers.apply_rows([heartbeat_row("other", "s", 7, 4)])
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s2", 5)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(tracker).silent_claim is not None


def test_a_candidate_is_not_claimable_after_its_claim_or_job_changed():
    """Changes that arrive during the probe of its holder take precedence.

    These are claims of this agent that are pending, claims of others, and the end of
    the job.
    """
    tracker, clock, value = make_tracker_with_job(groups=2)
    for key in ("00000", "00001"):
        tracker.apply_claim_rows([claim_row("job", key, "other", "s", 3)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    chosen = choose(tracker)
    assert tracker.is_claimable(chosen)
    tracker.pending_claims["job", chosen.unit.key] = chosen
    assert not tracker.is_claimable(chosen), "its claim is pending"
    tracker.pending_claims.clear()
    tracker.apply_claim_rows([claim_row("job", chosen.unit.key, "third", "t", 4)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert not tracker.is_claimable(chosen), "another agent has claimed it since"
    chosen = choose(tracker)
    tracker.close_job(value.id)
    assert not tracker.is_claimable(chosen), "its job has ended"


def test_heartbeats_missing_due_to_a_store_outage_do_not_free_claims():
    tracker, clock, _ = make_tracker_with_job(groups=1)
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    clock.advance(10)
    tracker.peers.note_store_recovered()
    assert choose(tracker) is None, "its heartbeats could not be received"
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(tracker) is not None


def test_claims_stay_while_the_table_of_agents_is_out_of_date():
    """A store that recovers carries out claims before the first heartbeat arrives."""
    tracker, clock, _ = make_tracker_with_job(groups=1)
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    silent_since = clock.monotonic()
    tracker.peers.table_current_at = lambda: silent_since
    for _ in range(100):
        clock.advance(0.1)
        assert choose(tracker) is None, "its heartbeats, if any, cannot be received"
    tracker.peers.note_store_recovered()
    tracker.peers.table_current_at = clock.monotonic
    assert choose(tracker) is None
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(tracker) is not None


def test_a_host_lost_before_a_store_outage_times_out_during_the_outage():
    tracker, clock, _ = make_tracker_with_job(groups=1)
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    listened = clock.monotonic()
    tracker.peers.table_current_at = lambda: listened
    clock.advance(MAX_TABLE_AGE)
    assert choose(tracker) is not None


def test_units_that_are_done_or_of_an_ended_job_are_not_claimed():
    tracker, _, _ = make_tracker_with_job(groups=2)
    tracker.apply_claim_rows([claim_row("job", "00000", "gone", "s", 3, done=True)])
    assert choose(tracker).unit.key == "00001"
    tracker.apply_job_rows([Row(JOBS, END_KEY, 4, {"ended": True}, "job")])
    assert choose(tracker) is None


def test_an_engine_claims_no_unit_that_requires_newer_weights():
    tracker, _, _ = make_tracker_with_job()
    tracker.apply_job_rows(
        [job_row(job(split_into_units(items(step="x")), "late", oldest_version=5))]
    )
    assert choose(tracker, version=0) is None
    assert choose(tracker, version=4).job.id == "job"


def test_a_claim_that_arrives_before_its_job_counts():
    clock = ManualClock()
    tracker = make_tracker(clock=clock)
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    tracker.apply_claim_rows([claim_row("job", "00000", "other", "s", 3)])
    tracker.apply_job_rows([job_row(job(split_into_units(items(1))))])
    assert choose(tracker) is None


def test_groups_of_an_earlier_step_come_first():
    units = split_into_units(items(12))
    again = order_units(job(units), {"g11"})
    assert again[0].group == "g11"


def test_groups_are_removed_with_their_jobs():
    tracker, _, value = make_tracker_with_job()
    removed = Row(JOBS, JOB_KEY, 9, None, value.id)
    tracker.apply_job_rows([removed])
    again = job(split_into_units(items(2)), "later")
    tracker.apply_job_rows([job_row(again)])
    assert tracker.known_groups() == {"g0", "g1"}
    tracker.apply_job_rows([Row(JOBS, JOB_KEY, 10, None, "later")])
    assert tracker.known_groups() == set()
    assert not tracker.ended_jobs and not tracker.open_jobs


def test_a_unit_that_exceeds_the_memory_at_its_end_is_not_chosen():
    sizes = [8000, 600]
    step = [
        Item(f"{group}-{n}", "/run/", {}, b"", f"g{group}", size, memory=size)
        for group, size in enumerate(sizes)
        for n in range(2)
    ]
    tracker = make_tracker(clock=ManualClock())
    tracker.apply_job_rows([job_row(job(split_into_units(step)))])
    full = FreeCapacity(4, 22_000, (8000, 8000))
    taken = {
        tracker.choose_candidate([MODEL], {MODEL: 1}, full).unit.hint for _ in range(20)
    }
    assert taken == {600}


def uneven_tracker():
    """Return a tracker with nine short units and a long one, and its clock."""
    clock = ManualClock()
    tracker = make_tracker(clock=clock)
    found = [
        Item(f"i{n}", "/run/", {}, b"", f"g{n}", 100 if n == 4 else 10 + n)
        for n in range(10)
    ]
    tracker.apply_job_rows([job_row(job(split_into_units(found)))])
    return tracker, clock


def test_a_slower_engine_chooses_short_items_and_leaves_long_ones_to_others():
    """On an engine that is 1.28 times slower, long items delayed steps by 2 to 3 s."""
    tracker, clock = uneven_tracker()
    hints = [choose(tracker, slower=[MODEL]).unit.hint for _ in range(50)]
    assert set(hints) == {10, 11, 12, 13, 15, 16}
    assert 100 in {choose(tracker).unit.hint for _ in range(50)}
    for unit in tracker.open_jobs["job"].order:
        if unit.hint < 100:
            tracker.apply_claim_rows(
                [claim_row("job", unit.key, "other", "s", 3, done=True)]
            )
    assert choose(tracker, slower=[MODEL]) is None
    clock.advance(LONG_UNIT_WAIT)
    assert choose(tracker, slower=[MODEL]).unit.hint == 100, (
        "no faster engine has claimed it in time"
    )


def test_long_items_of_a_lost_host_are_left_to_faster_engines_first():
    """The wait for faster engines starts when the host is lost.

    It was counted from the arrival of the step, so any engine could claim the items.
    """
    tracker, clock = uneven_tracker()
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    for unit in tracker.open_jobs["job"].order:
        done = unit.hint < 100
        tracker.apply_claim_rows([claim_row("job", unit.key, "other", "s", 3, done)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert choose(tracker, slower=[MODEL]) is None
    assert choose(tracker).unit.hint == 100
    clock.advance(LONG_UNIT_WAIT)
    assert choose(tracker, slower=[MODEL]).unit.hint == 100


def test_long_items_of_a_restarted_agent_are_claimed_despite_its_new_heartbeats():
    """Guards against long items of a restarted agent that are never claimed.

    A slower engine leaves long items to faster ones for a second after they became
    free. Each heartbeat of the new process, 0.4 s apart, counted as that moment, so the
    second never ended, and where no faster engine had capacity, the items waited.
    Cause: the newest heartbeat was treated as the first of its session.
    """
    tracker, clock = uneven_tracker()
    tracker.peers.apply_rows([heartbeat_row("other", "s", 1, 2)])
    for unit in tracker.open_jobs["job"].order:
        done = unit.hint < 100
        tracker.apply_claim_rows([claim_row("job", unit.key, "other", "s", 3, done)])
    tracker.peers.apply_rows([heartbeat_row("other", "s2", 1, 4)])
    assert choose(tracker, slower=[MODEL]) is None, "a faster engine may claim it"
    for number in range(2, 5):
        clock.advance(HEARTBEAT_PERIOD)
        tracker.peers.apply_rows([heartbeat_row("other", "s2", number, number + 3)])
    assert choose(tracker, slower=[MODEL]).unit.hint == 100


def engine_heartbeat_row(agent, engine, usual, places=4, version=2):
    value = {"session": f"s-{agent}", "beat": 1, "usual": usual}
    value |= {"engine": engine, "places": places}
    return Row(AGENTS, agent, version, value)


def test_faster_engines_are_live_ones_among_the_given_engines():
    tracker, clock, _ = make_tracker_with_job()
    rows = [
        engine_heartbeat_row("a", "e1", 0.04),
        engine_heartbeat_row("b", "e2", 0.05),
        engine_heartbeat_row("c", "e3", 0.04),
    ]
    tracker.peers.apply_rows(rows)
    assert [b.engine for b in tracker.peers.faster_engines(0.052, ["e1", "e2"])] == [
        "e1"
    ]
    assert tracker.peers.faster_engines(0.045, ["e1", "e2"]) == [], (
        "a full engine does not count as a slower one"
    )
    assert tracker.peers.faster_engines(0.0, ["e1"]) == [], (
        "the pace to compare with is unknown"
    )
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    assert tracker.peers.faster_engines(0.052, ["e1"]) == []
