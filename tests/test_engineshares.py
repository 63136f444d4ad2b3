"""Division of engines between workspaces whose steps need more than there is.

Guards against a workspace with several trainers that gets more than one with a single
trainer, and against engines that work on steps which are late in any case: without the
division, no step of three trainers was in time with engines for half of the demand.
"""

import random

import attrs
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from gypsumshift.jobs.engineshares import (
    LOAD_TIME_S,
    NO_DIVISION,
    Division,
    StepNeed,
    StepRank,
    divide_engines,
)
from gypsumshift.jobs.servicerecord import ServiceRecord
from gypsumshift.jobs.stepneeds import EngineDivider
from gypsumshift.policy import DEFAULT_POLICY
from tests.shares_world import SharesWorld, Trainer

ENGINES, ITEMS = 16, 216
SECONDS = 120.0
# Times of the first step of each trainer.
PHASES = [(0.0, 1.0, 2.0), (0.0, 2.0, 1.3), (0.0, 0.0, 0.0), (0.7, 2.5, 3.3)]
WITHOUT = attrs.evolve(DEFAULT_POLICY, workspace_shares=False)
# Difference of a workspace's share of the steps in time from an equal share.
MAX_DIFFERENCE = 0.1


def trainers(phases, workspaces=("one", "one", "two"), **fields):
    """Return two trainers of one workspace and one of another."""
    return [
        Trainer(model, workspace, ITEMS, begin, **fields)
        for model, workspace, begin in zip("abc", workspaces, phases, strict=True)
    ]


def share_of_first(world):
    """Return the share of workspace ``one`` in the steps that were in time."""
    served = world.in_time_by_workspace()
    return served["one"] / sum(served.values())


@pytest.mark.parametrize("phases", PHASES)
def test_steps_in_time_are_equal_by_workspace(phases):
    world = SharesWorld(trainers(phases), ENGINES).run(SECONDS)
    assert abs(share_of_first(world) - 0.5) <= MAX_DIFFERENCE
    assert sum(world.in_time_by_workspace().values()) >= 25
    assert all(trainer.in_time() >= 3 for trainer in world.trainers)


def test_shares_by_trainer_are_not_equal_by_workspace(monkeypatch):
    """Each trainer counts as a workspace of its own: the test above detects it."""
    step_need = EngineDivider.step_need

    def by_trainer(divider, open_job, capacity):
        need = step_need(divider, open_job, capacity)
        return attrs.evolve(need, workspace=open_job.job.model)

    monkeypatch.setattr(EngineDivider, "step_need", by_trainer)
    for phases in PHASES:
        world = SharesWorld(trainers(phases), ENGINES).run(SECONDS)
        assert share_of_first(world) - 0.5 > MAX_DIFFERENCE


def test_without_the_division_hardly_a_step_is_in_time():
    for phases in PHASES:
        world = SharesWorld(trainers(phases), ENGINES, WITHOUT).run(SECONDS)
        assert sum(world.in_time_by_workspace().values()) <= 3


@pytest.mark.parametrize(
    ("engines", "workspaces"), [(44, ("one", "one", "two")), (ENGINES, ("", "", ""))]
)
def test_assignments_are_unchanged_with_room_for_all_or_without_workspaces(
    engines, workspaces
):
    runs = [
        SharesWorld(trainers(PHASES[0], workspaces), engines, policy).run(30.0)
        for policy in (DEFAULT_POLICY, WITHOUT)
    ]
    assert runs[0].history == runs[1].history
    assert runs[0].loads() == runs[1].loads()
    times = [[trainer.completed for trainer in run.trainers] for run in runs]
    assert times[0] == times[1]


def test_engines_of_an_idle_workspace_are_lent_and_returned():
    returns_at = 60.0
    world = SharesWorld(trainers((0.0, 1.0, returns_at)), ENGINES).run(returns_at)
    lent = world.in_time_by_workspace()["one"]
    served = [assignment.values() for assignment in world.history[100:]]
    assert all(list(models).count(("c",)) <= 1 for models in served)
    world.run(SECONDS - returns_at)
    both = world.in_time_by_workspace()
    assert both["two"] >= 5, "the returning workspace gets its share"
    assert both["one"] - lent >= 5, "it does not make up for its absence"
    returned = world.trainers[2]
    first = min(returned.submitted)
    assert returned.completed[first] - returned.submitted[first] <= 7.5


# Single divisions.

CAPACITY = 100.0


def need(job, workspace="one", tokens=300.0, left=6.0, **fields):
    """Return the need of a step of 300 tokens; its model is named like its job."""
    values = {
        "job": job,
        "model": job[0],
        "workspace": workspace,
        "submitted": 0.0,
        "tokens": tokens,
        "total_tokens": 300.0,
        "step_time_s": 7.5,
        "begun_share": 1 - tokens / 300.0,
        "longest_s": 1.0,
        "left_s": left,
    }
    return StepNeed(**(values | fields))


def ranks(steps, served=None, previous=NO_DIVISION):
    return divide_engines(steps, CAPACITY, served or {}, previous).ranks


def test_step_that_cannot_be_in_time_yields_to_one_that_can():
    late = [need("a1", left=0.0), need("b1", left=2.0), need("c1", longest_s=9.1)]
    found = ranks([*late, need("d1")])
    assert found.pop("d1") is StepRank.ADMITTED
    assert set(found.values()) == {StepRank.LATE}


def test_workspace_that_was_served_least_comes_first():
    steps = [need("a1", "one"), need("b1", "two")]
    assert ranks(steps, {"one": 10.0})["b1"] is StepRank.ADMITTED
    assert ranks(steps, {"two": 10.0})["b1"] is StepRank.WAITS


def test_admitted_and_begun_steps_stay_admitted():
    steps = [need("a1", "one"), need("b1", "two")]
    previous = Division({"b": CAPACITY}, {"b1": StepRank.ADMITTED})
    assert ranks(steps, {"two": 10.0}, previous)["b1"] is StepRank.ADMITTED
    steps[1] = need("b1", "two", tokens=200.0)
    assert ranks(steps, {"two": 10.0})["b1"] is StepRank.ADMITTED


def test_large_step_is_not_passed_over_by_small_ones():
    steps = [need("a1", "one", tokens=100.0), need("b1", "two", tokens=500.0)]
    small = need("c1", "one", tokens=10.0, begun_share=0.0)
    found = ranks([*steps, small], {"one": 20.0})
    assert found["b1"] is StepRank.WAITS and found["c1"] is StepRank.WAITS


def test_engines_keep_their_models_if_a_load_takes_longer_than_the_work():
    previous = Division({"a": CAPACITY}, {"a1": StepRank.ADMITTED})
    small = need("b1", tokens=0.9 * LOAD_TIME_S * CAPACITY)
    division = divide_engines([small], CAPACITY, {}, previous)
    assert division.rates == previous.rates
    large = need("b1", tokens=1.1 * LOAD_TIME_S * CAPACITY)
    division = divide_engines([large], CAPACITY, {}, previous)
    assert division.rates == pytest.approx({"b": CAPACITY})


def test_engines_keep_their_models_while_no_step_can_be_in_time():
    previous = Division({"a": 60.0, "b": 40.0})
    division = divide_engines([need("b1", left=0.0)], CAPACITY, {}, previous)
    assert division.rates == previous.rates


STEPS = st.lists(
    st.builds(
        need,
        st.from_regex("[a-d][0-9]", fullmatch=True),
        st.sampled_from(["one", "two", "three"]),
        st.floats(0.0, 900.0),
        st.floats(-5.0, 7.5),
        submitted=st.floats(0.0, 9.0),
    ),
    min_size=1,
    unique_by=lambda step: step.job,
)


@example([need("a1", tokens=5e-324)], random.Random(1))
@given(STEPS, st.randoms())
def test_division_uses_all_engines_and_does_not_depend_on_the_order(steps, chance):
    division = divide_engines(steps, CAPACITY, {})
    assert sum(division.rates.values()) == pytest.approx(CAPACITY)
    assert set(division.ranks) == {step.job for step in steps}
    shuffled = list(steps)
    chance.shuffle(shuffled)
    again = divide_engines(shuffled, CAPACITY, {})
    assert again.ranks == division.ranks
    assert again.rates == pytest.approx(division.rates)


def test_record_counts_the_tokens_started_for_admitted_steps_only():
    record = ServiceRecord()
    division = Division({"a": 1.0}, {"a1": StepRank.ADMITTED, "b1": StepRank.WAITS})
    record.record([need("a1"), need("b1", "two")], division)
    begun = [need("a1", tokens=150.0), need("b1", "two", tokens=150.0)]
    record.record(begun, division)
    assert record.tokens["one"] == pytest.approx(150.0)
    assert not record.tokens.get("two")


def test_workspace_that_returns_is_ahead_of_the_others_by_one_step_only():
    record = ServiceRecord()
    record.tokens = {"one": 5000.0}
    record.record([need("a1")], NO_DIVISION)
    record.record([need("a1"), need("b1", "two")], NO_DIVISION)
    assert 4600.0 < record.tokens["two"] < record.tokens["one"]


def test_trainer_served_last_comes_after_the_others_of_its_workspace():
    record = ServiceRecord()
    first, second = need("a1", submitted=1.0), need("b1", submitted=2.0)
    record.record([first, second], NO_DIVISION)
    record.record([second], NO_DIVISION)
    assert record.last_step_of("one", "a") == 1.0
    steps = [
        need("a2", submitted=3.0, served_at=record.last_step_of("one", "a")),
        need("b2", submitted=4.0, served_at=record.last_step_of("one", "b")),
    ]
    found = ranks(steps)
    assert found["b2"] is StepRank.ADMITTED and found["a2"] is StepRank.WAITS
