"""Division of engines of three builds between models.

Guards against a model that gets half of the capacity that its work needs, and against
one without an engine that completes its longest item in time.
"""

import random
import statistics

import attrs
import pytest

from gypsumshift.jobs.placement import EngineView, assign_models
from tests.pace_builders import BUILDS

LENGTHS = {"a": 9500, "b": 10500, "c": 11000}
SEEDS = range(10)
STEPS = 12


def engines_of(chance, count, homes):
    """Return engines whose measured paces vary by 8 % from step to step."""
    names = [f"e{number:02d}" for number in range(count)]
    return [
        EngineView(
            name,
            homes.get(name, ""),
            BUILDS[number % len(BUILDS)] * chance.uniform(1, 1.08),
        )
        for number, name in enumerate(names)
    ]


def normalized(sizes):
    total = sum(sizes.values())
    return {model: size / total for model, size in sizes.items()}


def highest_load(engines, assigned, shares):
    """Return the highest load of a model, relative to an even division."""
    speeds = dict.fromkeys(shares, 0.0)
    for engine in engines:
        speeds[assigned[engine.id][0]] += 1 / engine.usual_pace
    total = sum(speeds.values())
    return max(shares[model] * total / speeds[model] for model in shares)


def lacks_fast_engine(engines, assigned, shares):
    """Return whether the longest item of a model ends late at all of its engines."""
    limit = 1.3 * max(LENGTHS.values()) * min(engine.usual_pace for engine in engines)
    return any(
        LENGTHS[model]
        * min(e.usual_pace for e in engines if assigned[e.id] == (model,))
        > limit
        for model in shares
    )


@attrs.define
class Course:
    """What became of an assignment over the steps of all seeds."""

    loads: list = attrs.field(factory=list)
    changes: int = 0
    lacking: int = 0


def run_course(count, by_capacity):
    course = Course()
    for seed in SEEDS:
        chance = random.Random(seed)
        base = {model: chance.uniform(0.5, 1.5) for model in LENGTHS}
        homes = {}
        for _ in range(STEPS):
            shares = normalized(
                {m: s * chance.uniform(0.9, 1.1) for m, s in base.items()}
            )
            engines = engines_of(chance, count, homes)
            assigned = assign_models(engines, shares, LENGTHS, by_capacity)
            course.loads.append(highest_load(engines, assigned, shares))
            course.lacking += lacks_fast_engine(engines, assigned, shares)
            course.changes += sum(homes[e] != assigned[e][0] for e in homes)
            homes = {engine: models[0] for engine, models in assigned.items()}
    return course


@pytest.mark.parametrize("count", [9, 12, 22])
def test_capacity_follows_work_and_engines_keep_their_models(count):
    found, former = run_course(count, True), run_course(count, False)
    assert max(found.loads) <= 1.3
    assert statistics.median(found.loads) < statistics.median(former.loads)
    assert found.changes <= min(former.changes, len(SEEDS))


@pytest.mark.parametrize("count", [9, 12, 22])
def test_every_model_has_an_engine_that_completes_its_longest_item_in_time(count):
    assert run_course(count, True).lacking == 0
    assert run_course(count, False).lacking > 0, "by their number, some had none"


def test_a_model_whose_only_engine_is_slow_swaps_it():
    paces = {"e1": 0.085, "e2": 0.031, "e3": 0.031}
    homes = {"e1": "c", "e2": "a", "e3": "a"}
    engines = [EngineView(e, homes[e], pace) for e, pace in paces.items()]
    shares = {"a": 0.85, "c": 0.15}
    found = assign_models(engines, shares, {"a": 6000, "c": 11000}, True)
    assert found["e1"] == ("a",)
    assert sorted(models[0] for models in found.values()) == ["a", "a", "c"]
    again = [EngineView(e, found[e][0], pace) for e, pace in paces.items()]
    assert assign_models(again, shares, {"a": 6000, "c": 11000}, True) == found


@pytest.mark.parametrize("seed", SEEDS)
def test_agents_that_see_some_changes_already_come_to_the_same_division(seed):
    """Agents read each other's new models at different times."""
    chance = random.Random(seed)
    shares = normalized({model: chance.uniform(0.5, 1.5) for model in LENGTHS})
    homes = {f"e{n:02d}": chance.choice("abc") for n in range(12)}
    engines = engines_of(chance, 12, homes)
    found = assign_models(engines, shares, LENGTHS, True)
    for _ in range(4):
        homes |= {e: m[0] for e, m in found.items() if chance.random() < 0.5}
        seen = [attrs.evolve(e, assigned_model=homes[e.id]) for e in engines]
        found = assign_models(seen, shares, LENGTHS, True)
    seen = [attrs.evolve(e, assigned_model=found[e.id][0]) for e in engines]
    assert assign_models(seen, shares, LENGTHS, True) == found
    assert highest_load(engines, found, shares) <= 1.35


def test_an_engine_that_is_lost_or_added_changes_the_model_of_few_others():
    chance = random.Random(1)
    shares = normalized({"a": 1.0, "b": 0.6, "c": 1.1})
    engines = engines_of(chance, 22, {})
    homes = {e: m[0] for e, m in assign_models(engines, shares, LENGTHS, True).items()}
    for lost in range(22):
        left = [
            attrs.evolve(e, assigned_model=homes[e.id])
            for number, e in enumerate(engines)
            if number != lost
        ]
        now = assign_models(left, shares, LENGTHS, True)
        assert sum(now[e.id][0] != homes[e.id] for e in left) <= 2


def test_engines_of_similar_pace_are_divided_as_before():
    chance = random.Random(1)
    engines = [
        EngineView(f"e{n}", chance.choice("abc"), 0.04 if n % 3 else 0.051)
        for n in range(9)
    ]
    shares = normalized({"a": 1.0, "b": 0.6, "c": 1.1})
    assert assign_models(engines, shares, LENGTHS, True) == assign_models(
        engines, shares, LENGTHS
    )


def test_engines_keep_their_models_while_few_paces_are_known():
    """Each change costs a load of weights, in which no item starts for 0.9 s."""
    homes = {f"e{number:02d}": "abc"[number // 4] for number in range(12)}
    engines = engines_of(random.Random(1), 12, homes)
    shares = dict.fromkeys("abc", 1 / 3)
    for known in range(9):
        seen = [
            engine if number < known else attrs.evolve(engine, usual_pace=0.0)
            for number, engine in enumerate(engines)
        ]
        found = assign_models(seen, shares, LENGTHS, True)
        assert found == {engine: (model,) for engine, model in homes.items()}
