"""Assignment of models to engines, and the decision when an engine loads weights."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.jobs import split_into_units
from gypsumshift.jobs.placement import (
    AssignmentCache,
    Demand,
    EngineView,
    assign_models,
)
from gypsumshift.jobs.weightloads import (
    SECOND_HALF_DELAY,
    LoadConditions,
    choose_load,
)
from tests.job_builders import items, job

SHARES = {"short": 0.2, "note": 0.39, "story": 0.41}
LENGTHS = {"short": 6500, "note": 10600, "story": 10600}


def views(count, slow=(), assigned=None):
    """Return engines, some of which are slower or already serve a model."""
    assigned = assigned or {}
    names = [f"s{number}" for number in range(count)]
    return [
        EngineView(name, assigned.get(name, ""), 0.051 if name in slow else 0.04)
        for name in names
    ]


def assign(engines, shares=SHARES):
    return {
        engine: models[0]
        for engine, models in assign_models(engines, shares, LENGTHS).items()
    }


def test_slow_engines_serve_the_model_of_the_shortest_items():
    """The longest items of other models take 9.4 to 10.2 s there, of a step's 7.5 s."""
    found = assign(views(6, slow=("s2", "s5")))
    assert [found["s2"], found["s5"]] == ["short", "short"]
    assert sorted(found.values()) == ["note", "note", *["short"] * 2, *["story"] * 2]
    found = assign(views(5, slow=("s3",)))
    assert [name for name, model in found.items() if model == "short"] == ["s3"]


def test_model_of_shortest_items_gets_no_engine_that_other_models_need():
    found = assign(views(5, slow=("s1", "s2")))
    assert list(found.values()).count("short") == 1


@given(st.lists(st.floats(0.8, 1.25), min_size=12, max_size=12))
def test_engines_keep_their_models_when_step_sizes_vary_by_a_quarter(factors):
    assigned = assign(views(6, slow=("s2", "s5")))
    for number in range(0, 12, 3):
        sizes = [
            size * factor
            for size, factor in zip(
                SHARES.values(), factors[number : number + 3], strict=True
            )
        ]
        shares = {m: s / sum(sizes) for m, s in zip(SHARES, sizes, strict=True)}
        now = assign(views(6, ("s2", "s5"), assigned), shares)
        assert now == assigned


def test_adding_or_removing_an_engine_reassigns_at_most_one_other():
    """Assigned by sorted ids alone, a third of the engines changed their models."""
    assigned = assign(views(7))
    fewer = [view for view in views(7, assigned=assigned) if view.id != "s0"]
    now = assign(fewer)
    assert sum(now[name] != assigned[name] for name in now) <= 1
    more = [*views(7, assigned=assigned), EngineView("new", "", 0.04)]
    now = assign(more)
    assert all(now[name] == assigned[name] for name in assigned)


def test_assignment_does_not_depend_on_the_order_of_the_engines():
    engines = views(7, slow=("s1",), assigned={"s0": "note", "s3": "short"})
    assert assign(engines) == assign(engines[::-1])


NAMES = st.lists(st.text("abc", min_size=1, max_size=3), unique=True, max_size=9)


@given(NAMES, st.dictionaries(st.sampled_from("xyz"), st.floats(0.01, 1), min_size=1))
def test_every_model_has_a_server_and_every_server_has_a_model(servers, shares):
    assignment = assign_models([EngineView(name) for name in servers], shares, {})
    assert set(assignment) == set(servers)
    assert all(assignment.values())
    if servers:
        assert {m for models in assignment.values() for m in models} == set(shares)


def test_number_of_servers_per_model_is_proportional_to_its_share():
    assignment = assign_models(views(9), {"a": 2 / 3, "b": 1 / 3}, {})
    assert [models for models in assignment.values()].count(("a",)) == 6


def test_demand_shares_are_computed_from_the_newest_steps_only():
    demand = Demand()
    assert demand.shares(("a", "b")) == {"a": 0.5, "b": 0.5}
    for number in range(8):
        groups = 1 if number < 4 else 3
        demand.add_job(
            job(split_into_units(items(groups, step=f"{number}")), f"a{number}", "a")
        )
        demand.add_job(
            job(split_into_units(items(1, step=f"b{number}")), f"b{number}", "b")
        )
    assert demand.shares(("a", "b")) == {"a": 0.75, "b": 0.25}


def conditions(
    loaded,
    newest,
    needed=-1,
    position=0,
    newest_age=0.0,
    max_lag=0,
    versions=(1, 1),
    **fields,
):
    step = {"step_arrived": True} | fields
    return LoadConditions(
        "m", loaded, newest, needed, max_lag, versions, position, newest_age, **step
    )


@pytest.mark.parametrize(
    ("loaded", "newest", "needed", "position", "newest_age", "loads"),
    [
        (2, 2, 2, 0, 0.0, False),
        (1, 2, -1, 0, 0.0, True),
        (1, 2, -1, 1, 0.0, False),
        (1, 2, -1, 1, SECOND_HALF_DELAY, True),
        (1, 2, 2, 1, 0.0, True),
        (1, 2, 1, 1, 0.0, False),
    ],
)
def test_first_half_of_the_engines_loads_at_once_and_second_half_later(
    loaded, newest, needed, position, newest_age, loads
):
    choice = choose_load(conditions(loaded, newest, needed, position, newest_age))
    assert (choice is not None) == loads


def test_engine_that_steps_can_use_skips_a_version_if_half_have_a_newer_one():
    skipped = conditions(4, 5, needed=4, newest_age=9.0, max_lag=1, versions=(4, 3))
    assert choose_load(skipped) is None
    assert choose_load(conditions(4, 6, max_lag=1, versions=(4, 5))).version == 6


def announce(versions, newest):
    """Announce a version; return how many engines load it at once."""
    loading = [
        position
        for position, version in enumerate(versions)
        if choose_load(
            conditions(
                version, newest, -1, position, 0.0, max_lag=1, versions=tuple(versions)
            )
        )
    ]
    for position in loading:
        versions[position] = newest
    return len(loading)


@pytest.mark.parametrize("count", [2, 3, 7, 10])
def test_each_engine_loads_every_other_version(count):
    loaded = [1] * count
    for newest in range(2, 10):
        assert max(loaded) >= newest - 1, "the next step finds an engine"
        loads = announce(loaded, newest)
        assert loads in (count // 2, count - count // 2)


def test_half_of_the_engines_load_after_a_removal_shifts_their_positions():
    """By the parity of the position alone, all seven loaded version 6 at once."""
    loaded = [5, 4, 5, 4, 5, 4, 5, 4]
    del loaded[0]
    assert announce(loaded, 6) == 4
    assert loaded == [6, 5, 6, 5, 6, 5, 6]


def test_single_engine_loads_only_once_upcoming_steps_cannot_use_its_version():
    lone = {"max_lag": 1, "versions": (1,), "step_arrived": False}
    assert choose_load(conditions(1, 2, **lone)) is None
    assert choose_load(conditions(1, 3, **lone)).version == 3


def test_engine_loads_after_a_step_has_started_and_not_before():
    """A load before a step's items start delays them by 0.9 s; a later one does not."""
    lone = {"max_lag": 1, "versions": (1,)}
    assert choose_load(conditions(1, 2, **lone, step_arrived=False)) is None
    assert choose_load(conditions(1, 2, needed=1, **lone)) is None
    assert choose_load(conditions(1, 2, **lone)).version == 2


def test_second_half_loads_after_the_first_half_once_the_step_has_started():
    both = {"max_lag": 1, "position": 1}
    assert choose_load(conditions(1, 2, versions=(1, 1), **both)) is None
    assert choose_load(conditions(1, 2, versions=(2, 1), **both)).version == 2
    assert choose_load(conditions(1, 2, versions=(2, 1), **both, needed=1)) is None


def test_load_that_restarts_running_items_is_not_brought_forward_by_a_step_start():
    single = {"max_lag": 1, "restarts_items": True}
    assert choose_load(conditions(1, 2, versions=(1,), **single)) is None
    assert choose_load(conditions(1, 2, versions=(2, 1), position=1, **single)) is None
    assert choose_load(conditions(1, 2, versions=(1, 1), **single)).version == 2


class Trainer:
    """Trainer with two steps in flight; each announced version brings the next step."""

    def __init__(self, engines):
        self.versions = [1] * engines

    def step(self, newest):
        """Announce a version and submit its step.

        Returns the number of engines that can start the step at once.
        """
        able = sum(version >= newest - 1 for version in self.versions)
        for arrived, needed in (
            (False, -1),
            (True, newest - 1),
            (True, -1),
            (True, -1),
        ):
            candidates = [
                conditions(
                    version,
                    newest,
                    needed,
                    position,
                    max_lag=1,
                    versions=tuple(self.versions),
                    step_arrived=arrived,
                )
                for position, version in enumerate(self.versions)
            ]
            for position, choice in enumerate(map(choose_load, candidates)):
                if choice is not None:
                    self.versions[position] = newest
        return able


@pytest.mark.parametrize("engines", [1, 2, 7])
def test_every_engine_can_start_every_step_at_once(engines):
    """Engines that loaded only once a step needed it could not start every other step.

    This held for a single engine; of several engines, half could start it.
    """
    trainer = Trainer(engines)
    assert [trainer.step(newest) for newest in range(2, 9)] == [engines] * 7


def test_assignment_is_computed_again_only_when_its_arguments_change():
    cache = AssignmentCache()
    first = cache.assign(views(6), SHARES, LENGTHS)
    assert cache.assign(views(6), dict(SHARES), dict(LENGTHS)) is first
    assert cache.assign(views(6, slow=("s1",)), SHARES, LENGTHS) == assign_models(
        views(6, slow=("s1",)), SHARES, LENGTHS
    )
