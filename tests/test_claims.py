"""Which unit an agent claims, and when a claim of another is free."""

from gypsumshift.jobs import split
from gypsumshift.jobs.claims import LEAVE_LONG
from gypsumshift.jobs.heart import HEARTBEAT
from gypsumshift.jobs.model import AGENTS, END_KEY, JOB_KEY, JOBS, Item
from gypsumshift.jobs.peers import LISTENING, SILENCE
from gypsumshift.jobs.room import Room
from gypsumshift.jobs.schedule import begin_order
from gypsumshift.platforms import Row
from tests.builders import ManualClock
from tests.jobs_world import MODEL, board, claim_row, items, job, job_row


def pulse(agent, session, beat, version):
    return Row(AGENTS, agent, version, {"session": session, "beat": beat})


def make_board(groups=2):
    clock = ManualClock()
    own = board(clock=clock)
    value = job(split(items(groups)))
    own.take_jobs([job_row(value)])
    return own, clock, value


def choose(own, room=8, version=1, slower=()):
    return own.choose([MODEL], {MODEL: version}, Room(room), slower)


def test_claims_of_a_living_agent_stay():
    own, clock, _ = make_board(groups=1)
    own.peers.take([pulse("other", "s", 1, 2)])
    own.take_claims([claim_row("job", "00000", "other", "s", 3)])
    assert choose(own) is None
    clock.advance(SILENCE + 0.1)
    assert choose(own).taken_over


def test_claims_of_a_restarted_agent_are_free_at_once():
    own, _, _ = make_board(groups=1)
    own.peers.take([pulse("other", "s", 1, 2)])
    own.take_claims([claim_row("job", "00000", "other", "s", 3)])
    own.peers.take([pulse("other", "s2", 1, 4)])
    assert choose(own) is not None


def test_a_fresh_claim_is_a_sign_of_life_before_the_heartbeat_comes():
    own, clock, _ = make_board(groups=1)
    own.peers.take([pulse("other", "s", 1, 2)])
    clock.advance(10 * SILENCE)
    own.take_claims([claim_row("job", "00000", "other", "s", 3)])
    assert choose(own) is None


def test_a_claim_outlives_an_older_heartbeat_that_is_told_after_it():
    """Items of a healthy agent ran at another one as well, and their step was late.

    The agent had just started again and claimed a unit. Another agent was told the
    claim first, and then, by a table that was read a moment before, the heartbeat of
    the process before. What came last was taken for the newest, so the unit was taken.
    """
    own, _, _ = make_board(groups=1)
    own.take_claims([claim_row("job", "00000", "other", "s2", 5)])
    own.peers.take([pulse("other", "s", 7, 4)])
    assert choose(own) is None


def test_a_claim_of_an_ended_process_is_free_though_it_is_told_late():
    """Units waited 1.2 s for nobody after all processes had started again.

    An agent that started read the table of agents first, and then the claims of the
    processes before; each counted as a sign of life of its holder.
    """
    own, clock, _ = make_board(groups=1)
    own.peers.take([pulse("other", "s2", 1, 4)])
    clock.advance(0.1)
    own.take_claims([claim_row("job", "00000", "other", "s", 3)])
    candidate = choose(own)
    assert candidate is not None and candidate.silent is None


def test_a_claim_of_a_new_process_that_is_not_heard_is_asked_for():
    own, clock, _ = make_board(groups=1)
    own.peers.take([pulse("other", "s", 7, 4)])
    own.take_claims([claim_row("job", "00000", "other", "s2", 5)])
    clock.advance(SILENCE + 0.1)
    assert choose(own).silent is not None


def test_a_candidate_is_claimed_only_as_it_was_chosen():
    """What was told while its holder was asked goes first: claims, an end, own ones."""
    own, clock, value = make_board(groups=2)
    for key in ("00000", "00001"):
        own.take_claims([claim_row("job", key, "other", "s", 3)])
    clock.advance(SILENCE + 0.1)
    chosen = choose(own)
    assert own.claimable(chosen)
    own.claiming["job", chosen.unit.key] = chosen
    assert not own.claimable(chosen), "its claim is on its way"
    own.claiming.clear()
    own.take_claims([claim_row("job", chosen.unit.key, "third", "t", 4)])
    clock.advance(SILENCE + 0.1)
    assert not own.claimable(chosen), "another agent held it meanwhile"
    chosen = choose(own)
    own.close(value.id)
    assert not own.claimable(chosen), "its job has ended"


def test_nobody_is_taken_for_dead_while_the_store_is_away():
    own, clock, _ = make_board(groups=1)
    own.peers.take([pulse("other", "s", 1, 2)])
    own.take_claims([claim_row("job", "00000", "other", "s", 3)])
    clock.advance(10)
    own.peers.note_store_back()
    assert choose(own) is None, "its heartbeats could not be heard"
    clock.advance(SILENCE + 0.1)
    assert choose(own) is not None


def test_a_unit_stays_with_its_agent_while_the_store_is_away():
    """Claims reach a store that returns before the first heartbeat is heard."""
    own, clock, _ = make_board(groups=1)
    own.peers.take([pulse("other", "s", 1, 2)])
    own.take_claims([claim_row("job", "00000", "other", "s", 3)])
    silent_since = clock.monotonic()
    own.peers.listened_at = lambda: silent_since
    for _ in range(100):
        clock.advance(0.1)
        assert choose(own) is None, "it may beat, and nobody hears it"
    own.peers.note_store_back()
    own.peers.listened_at = clock.monotonic
    assert choose(own) is None
    clock.advance(SILENCE + 0.1)
    assert choose(own) is not None


def test_a_host_that_was_lost_before_the_store_went_is_missed_in_time():
    own, clock, _ = make_board(groups=1)
    own.peers.take([pulse("other", "s", 1, 2)])
    own.take_claims([claim_row("job", "00000", "other", "s", 3)])
    clock.advance(SILENCE + 0.1)
    listened = clock.monotonic()
    own.peers.listened_at = lambda: listened
    clock.advance(LISTENING)
    assert choose(own) is not None


def test_a_done_or_ended_unit_is_not_claimed():
    own, _, _ = make_board(groups=2)
    own.take_claims([claim_row("job", "00000", "gone", "s", 3, done=True)])
    assert choose(own).unit.key == "00001"
    own.take_jobs([Row(JOBS, END_KEY, 4, {"ended": True}, "job")])
    assert choose(own) is None


def test_an_engine_with_old_weights_claims_nothing():
    own, _, _ = make_board()
    own.take_jobs([job_row(job(split(items(step="x")), "late", oldest_version=5))])
    assert choose(own, version=0) is None
    assert choose(own, version=4).job.id == "job"


def test_a_claim_told_before_its_job_counts():
    clock = ManualClock()
    own = board(clock=clock)
    own.peers.take([pulse("other", "s", 1, 2)])
    own.take_claims([claim_row("job", "00000", "other", "s", 3)])
    own.take_jobs([job_row(job(split(items(1))))])
    assert choose(own) is None


def test_groups_of_an_earlier_step_are_begun_first():
    units = split(items(12))
    again = begin_order(job(units), {"g11"})
    assert again[0].group == "g11"


def test_groups_of_jobs_that_are_removed_are_forgotten():
    own, _, value = make_board()
    removed = Row(JOBS, JOB_KEY, 9, None, value.id)
    own.take_jobs([removed])
    again = job(split(items(2)), "later")
    own.take_jobs([job_row(again)])
    assert own.groups_seen() == {"g0", "g1"}
    own.take_jobs([Row(JOBS, JOB_KEY, 10, None, "later")])
    assert own.groups_seen() == set()
    assert not own.ended and not own.open


def test_a_unit_for_whose_end_there_is_no_memory_is_left_to_another_engine():
    sizes = [8000, 600]
    step = [
        Item(f"{group}-{n}", "/run/", {}, b"", f"g{group}", size, memory=size)
        for group, size in enumerate(sizes)
        for n in range(2)
    ]
    own = board(clock=ManualClock())
    own.take_jobs([job_row(job(split(step)))])
    full = Room(4, 22_000, (8000, 8000))
    taken = {own.choose([MODEL], {MODEL: 1}, full).unit.hint for _ in range(20)}
    assert taken == {600}


def uneven_board():
    """Return a board with nine short units and a long one, and its clock."""
    clock = ManualClock()
    own = board(clock=clock)
    found = [
        Item(f"i{n}", "/run/", {}, b"", f"g{n}", 100 if n == 4 else 10 + n)
        for n in range(10)
    ]
    own.take_jobs([job_row(job(split(found)))])
    return own, clock


def test_a_slower_engine_begins_with_short_items_and_leaves_the_long_ones():
    """At an engine that is 1.28 times slower they made their steps 2 to 3 s late."""
    own, clock = uneven_board()
    hints = [choose(own, slower=[MODEL]).unit.hint for _ in range(50)]
    assert set(hints) == {10, 11, 12, 13, 15, 16}
    assert 100 in {choose(own).unit.hint for _ in range(50)}
    for unit in own.open["job"].order:
        if unit.hint < 100:
            own.take_claims([claim_row("job", unit.key, "other", "s", 3, done=True)])
    assert choose(own, slower=[MODEL]) is None
    clock.advance(LEAVE_LONG)
    assert choose(own, slower=[MODEL]).unit.hint == 100, "nobody else took it"


def test_long_items_of_a_lost_host_are_left_to_faster_engines_too():
    """They had waited since their step came, and went to whoever was first."""
    own, clock = uneven_board()
    own.peers.take([pulse("other", "s", 1, 2)])
    for unit in own.open["job"].order:
        done = unit.hint < 100
        own.take_claims([claim_row("job", unit.key, "other", "s", 3, done)])
    clock.advance(SILENCE + 0.1)
    assert choose(own, slower=[MODEL]) is None
    assert choose(own).unit.hint == 100
    clock.advance(LEAVE_LONG)
    assert choose(own, slower=[MODEL]).unit.hint == 100


def test_long_items_of_a_restarted_agent_are_taken_though_it_goes_on_beating():
    """Long items of an agent that had started again waited though an engine had room.

    An engine that is built slower leaves long items to faster ones for a second from
    when they became free. Each heartbeat of the new process, 0.4 s apart, counted as
    that moment, so the second never ended, and where no faster engine had room, nobody
    took them. Cause: the newest heartbeat was taken for the first of its session.
    """
    own, clock = uneven_board()
    own.peers.take([pulse("other", "s", 1, 2)])
    for unit in own.open["job"].order:
        done = unit.hint < 100
        own.take_claims([claim_row("job", unit.key, "other", "s", 3, done)])
    own.peers.take([pulse("other", "s2", 1, 4)])
    assert choose(own, slower=[MODEL]) is None, "a faster engine may take it"
    for number in range(2, 5):
        clock.advance(HEARTBEAT)
        own.peers.take([pulse("other", "s2", number, number + 3)])
    assert choose(own, slower=[MODEL]).unit.hint == 100


def beat(agent, engine, usual, places=4, version=2):
    value = {"session": f"s-{agent}", "beat": 1, "usual": usual}
    value |= {"engine": engine, "places": places}
    return Row(AGENTS, agent, version, value)


def test_faster_are_those_of_the_same_model_that_live():
    own, clock, _ = make_board()
    rows = [beat("a", "e1", 0.04), beat("b", "e2", 0.05), beat("c", "e3", 0.04)]
    own.peers.take(rows)
    assert [b.engine for b in own.peers.faster(0.052, ["e1", "e2"])] == ["e1"]
    assert own.peers.faster(0.045, ["e1", "e2"]) == [], "a full engine is no slower one"
    assert own.peers.faster(0.0, ["e1"]) == [], "its own pace is not known"
    clock.advance(SILENCE + 0.1)
    assert own.peers.faster(0.052, ["e1"]) == []
