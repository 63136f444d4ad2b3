"""Which engine serves which model, and when it loads new weights."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.jobs import split_into_units
from gypsumshift.jobs.placement import (
    SECOND_TURN,
    Demand,
    EngineView,
    LoadQuestion,
    Remembered,
    assign,
    choose_load,
)
from tests.job_builders import items, job

THREE = {"short": 0.2, "note": 0.39, "story": 0.41}
LENGTHS = {"short": 6500, "note": 10600, "story": 10600}


def views(count, slow=(), homes=None):
    """Return engines, some of which are built slower or serve a model already."""
    homes = homes or {}
    names = [f"s{number}" for number in range(count)]
    return [
        EngineView(name, homes.get(name, ""), 0.051 if name in slow else 0.04)
        for name in names
    ]


def placed(engines, shares=THREE):
    return {engine: own[0] for engine, own in assign(engines, shares, LENGTHS).items()}


def test_slow_engines_serve_the_model_of_the_shortest_items():
    """At others, their longest items took 9.4 to 10.2 s of the step's 7.5 s."""
    found = placed(views(6, slow=("s2", "s5")))
    assert [found["s2"], found["s5"]] == ["short", "short"]
    assert sorted(found.values()) == ["note", "note", *["short"] * 2, *["story"] * 2]
    found = placed(views(5, slow=("s3",)))
    assert [name for name, model in found.items() if model == "short"] == ["s3"]


def test_a_model_of_short_items_takes_no_engine_that_the_others_need():
    found = placed(views(5, slow=("s1", "s2")))
    assert list(found.values()).count("short") == 1


@given(st.lists(st.floats(0.8, 1.25), min_size=12, max_size=12))
def test_engines_stay_with_their_models_while_the_sizes_of_steps_differ(factors):
    homes = placed(views(6, slow=("s2", "s5")))
    for number in range(0, 12, 3):
        sizes = [
            size * factor
            for size, factor in zip(
                THREE.values(), factors[number : number + 3], strict=True
            )
        ]
        shares = {m: s / sum(sizes) for m, s in zip(THREE, sizes, strict=True)}
        now = placed(views(6, ("s2", "s5"), homes), shares)
        assert now == homes


def test_an_engine_that_goes_or_comes_moves_no_more_than_it_must():
    """Sorted by their ids, a third of the engines changed models at each change."""
    homes = placed(views(7))
    fewer = [view for view in views(7, homes=homes) if view.id != "s0"]
    now = placed(fewer)
    assert sum(now[name] != homes[name] for name in now) <= 1
    more = [*views(7, homes=homes), EngineView("new", "", 0.04)]
    now = placed(more)
    assert all(now[name] == homes[name] for name in homes)


def test_all_decide_alike_whatever_the_order_in_which_they_know_engines():
    engines = views(7, slow=("s1",), homes={"s0": "note", "s3": "short"})
    assert placed(engines) == placed(engines[::-1])


NAMES = st.lists(st.text("abc", min_size=1, max_size=3), unique=True, max_size=9)


@given(NAMES, st.dictionaries(st.sampled_from("xyz"), st.floats(0.01, 1), min_size=1))
def test_every_model_has_a_server_and_every_server_a_model(servers, shares):
    placed = assign([EngineView(name) for name in servers], shares, {})
    assert set(placed) == set(servers)
    assert all(placed.values())
    if servers:
        assert {m for own in placed.values() for m in own} == set(shares)


def test_servers_follow_the_shares():
    placed = assign(views(9), {"a": 2 / 3, "b": 1 / 3}, {})
    assert [own for own in placed.values()].count(("a",)) == 6


def test_demand_is_that_of_the_newest_steps():
    demand = Demand()
    assert demand.shares(("a", "b")) == {"a": 0.5, "b": 0.5}
    for number in range(8):
        groups = 1 if number < 4 else 3
        demand.add(
            job(split_into_units(items(groups, step=f"{number}")), f"a{number}", "a")
        )
        demand.add(
            job(split_into_units(items(1, step=f"b{number}")), f"b{number}", "b")
        )
    assert demand.shares(("a", "b")) == {"a": 0.75, "b": 0.25}


def question(
    own, newest, needed=-1, turn=0, since=0.0, slack=0, versions=(1, 1), **fields
):
    step = {"step_came": True} | fields
    return LoadQuestion("m", own, newest, needed, slack, versions, turn, since, **step)


@pytest.mark.parametrize(
    ("own", "newest", "needed", "turn", "since", "loads"),
    [
        (2, 2, 2, 0, 0.0, False),
        (1, 2, -1, 0, 0.0, True),
        (1, 2, -1, 1, 0.0, False),
        (1, 2, -1, 1, SECOND_TURN, True),
        (1, 2, 2, 1, 0.0, True),
        (1, 2, 1, 1, 0.0, False),
    ],
)
def test_half_of_the_engines_load_while_the_others_serve(
    own, newest, needed, turn, since, loads
):
    choice = choose_load(question(own, newest, needed, turn, since))
    assert (choice is not None) == loads


def test_an_engine_that_steps_can_still_use_skips_a_version():
    skipped = question(4, 5, needed=4, since=9.0, slack=1, versions=(4, 3))
    assert choose_load(skipped) is None
    assert choose_load(question(4, 6, slack=1, versions=(4, 5))).version == 6


def rollout(own, newest):
    """Name a version; return how many engines load at once."""
    loading = [
        turn
        for turn, version in enumerate(own)
        if choose_load(
            question(version, newest, -1, turn, 0.0, slack=1, versions=tuple(own))
        )
    ]
    for turn in loading:
        own[turn] = newest
    return len(loading)


@pytest.mark.parametrize("count", [2, 3, 7, 10])
def test_each_engine_loads_every_other_version(count):
    own = [1] * count
    for newest in range(2, 10):
        assert max(own) >= newest - 1, "the next step finds an engine"
        loads = rollout(own, newest)
        assert loads in (count // 2, count - count // 2)


def test_turns_that_shift_do_not_make_all_engines_load_at_once():
    """By the turn's parity alone, all seven loaded version 6 at once."""
    own = [5, 4, 5, 4, 5, 4, 5, 4]
    del own[0]
    assert rollout(own, 6) == 4
    assert own == [6, 5, 6, 5, 6, 5, 6]


def test_a_lone_engine_loads_when_steps_cannot_use_it_any_more():
    lone = {"slack": 1, "versions": (1,), "step_came": False}
    assert choose_load(question(1, 2, **lone)) is None
    assert choose_load(question(1, 3, **lone)).version == 3


def test_an_engine_loads_behind_the_start_of_a_step_and_not_before_it():
    """A load in front of a step's items makes them wait 0.9 s; behind them, none."""
    lone = {"slack": 1, "versions": (1,)}
    assert choose_load(question(1, 2, **lone, step_came=False)) is None
    assert choose_load(question(1, 2, needed=1, **lone)) is None
    assert choose_load(question(1, 2, **lone)).version == 2


def test_the_second_half_loads_once_the_first_one_has():
    both = {"slack": 1, "turn": 1}
    assert choose_load(question(1, 2, versions=(1, 1), **both)) is None
    assert choose_load(question(1, 2, versions=(2, 1), **both)).version == 2
    assert choose_load(question(1, 2, versions=(2, 1), **both, needed=1)) is None


def test_a_load_that_would_restart_what_runs_waits_as_long_as_it_can():
    single = {"slack": 1, "restarts": True}
    assert choose_load(question(1, 2, versions=(1,), **single)) is None
    assert choose_load(question(1, 2, versions=(2, 1), turn=1, **single)) is None
    assert choose_load(question(1, 2, versions=(1, 1), **single)).version == 2


class Trainer:
    """Two steps in flight, the next one asked once its version is named."""

    def __init__(self, engines):
        self.versions = [1] * engines

    def step(self, newest):
        """Name a version, with which its step comes; return how many begin at once."""
        able = sum(version >= newest - 1 for version in self.versions)
        for came, needed in ((False, -1), (True, newest - 1), (True, -1), (True, -1)):
            asked = [
                question(
                    version,
                    newest,
                    needed,
                    turn,
                    slack=1,
                    versions=tuple(self.versions),
                    step_came=came,
                )
                for turn, version in enumerate(self.versions)
            ]
            for turn, choice in enumerate(map(choose_load, asked)):
                if choice is not None:
                    self.versions[turn] = newest
        return able


@pytest.mark.parametrize("engines", [1, 2, 7])
def test_every_engine_can_begin_every_step_at_once(engines):
    """Before, none of one engine could begin every other step, and half of several."""
    trainer = Trainer(engines)
    assert [trainer.step(newest) for newest in range(2, 9)] == [engines] * 7


def test_a_placement_is_worked_out_again_only_where_something_changed():
    known = Remembered()
    first = known.assign(views(6), THREE, LENGTHS)
    assert known.assign(views(6), dict(THREE), dict(LENGTHS)) is first
    assert known.assign(views(6, slow=("s1",)), THREE, LENGTHS) == assign(
        views(6, slow=("s1",)), THREE, LENGTHS
    )
