"""Assignment of models to engines.

Each agent decides for its own engine, from data that is the same for all agents: the
listed engines, the newest steps, and the heartbeats, in which agents describe their
engines. An engine keeps its model unless that unbalances the load, since after a change
it has old weights. Engines of slower hardware serve the models of the shortest items:
the longest items take 7.3 s of the 7.5 s of a step, and 9.4 to 10.2 s at such an
engine. Which weight versions an engine loads is decided in `weightloads.py`.
"""

import collections
import functools
import math

import attrs

from gypsumshift.jobs.engineshares import NO_DIVISION, Division
from gypsumshift.jobs.modelcapacity import (
    assign_by_capacity,
    is_uneven,
    knows_paces,
)
from gypsumshift.jobs.pace import is_slower
from gypsumshift.jobs.records import Job

__all__ = [
    "AssignmentCache",
    "Demand",
    "EngineView",
    "assign_models",
]

# Number of newest steps of a model whose sizes determine its demand.
STEPS_KEPT = 3
# An engine changes its model only if the busiest model's load per engine is more than
# this many times the load per engine that the other model has without the engine. The
# sizes of steps differ by a fifth from one to the next, and an engine that changes its
# model starts no item for a second or two.
REASSIGN_LOAD_RATIO = 1.25
# A model may lose an engine, so that a slower engine serves short items, while its load
# per engine stays within this factor of the busiest model's: engines were a third full.
MAX_DONOR_LOAD_RATIO = 1.5
# Models whose longest items differ by less than this factor count as equally long.
SIMILAR_LENGTH_RATIO = 1.3


class Demand:
    """Demand for each model in output tokens, as estimated for its newest steps.

    Attributes
    ----------
    sizes, longest : dict
        Estimates of all items, and of the longest item, by job, by model.
    revision : int
        Number of jobs added so far.
    """

    def __init__(self):
        self.revision = 0
        self.sizes: dict[str, dict[str, float]] = {}
        self.longest: dict[str, dict[str, int]] = {}

    def add_job(self, job: Job) -> None:
        """Add a batch job's estimates; the oldest job of the model is dropped."""
        self.revision += 1
        sizes = self.sizes.setdefault(job.model, {})
        sizes[job.id] = float(sum(u.hint * len(u.items) for u in job.units))
        longest = self.longest.setdefault(job.model, {})
        longest[job.id] = max((unit.hint for unit in job.units), default=0)
        for kept in (sizes, longest):
            while len(kept) > STEPS_KEPT:
                del kept[next(iter(kept))]

    def longest_estimates(self) -> dict[str, int]:
        """Return the estimate of the longest item of each model, in output tokens."""
        return {model: max(kept.values()) for model, kept in self.longest.items()}

    def shares(
        self, models: tuple[str, ...], division: Division = NO_DIVISION
    ) -> dict[str, float]:
        """Return each model's share of the demand; equal shares until all are known.

        While the engines are divided between workspaces, that division decides.
        """
        if divided := division.shares(models):
            return divided
        known = {
            model: sum(sizes.values()) / len(sizes)
            for model, sizes in self.sizes.items()
            if model in models
        }
        total = sum(known.values())
        if not total or len(known) < len(models):
            return {model: 1 / len(models) for model in models}
        return {model: size / total for model, size in known.items()}


@attrs.frozen
class EngineView:
    """Properties of an engine that determine which model it is assigned.

    Attributes
    ----------
    id : str
    assigned_model : str
        Model that it serves now; empty for none.
    usual_pace : float
        Its usual pace; see `Pace.usual`.
    """

    id: str
    assigned_model: str = ""
    usual_pace: float = 0.0


def assign_models(
    engines: list[EngineView],
    shares: dict[str, float],
    lengths: dict[str, int],
    by_capacity: bool = False,
) -> dict[str, tuple[str, ...]]:
    """Return the models that each engine is to serve.

    Parameters
    ----------
    engines : list of EngineView
        The ready engines of the service.
    shares : dict
        Share of the work by model, summing to 1.
    lengths : dict
        Estimate of the longest item by model, as far as known.
    by_capacity : bool
        Whether engines of different pace are divided by capacity, not by number.

    Returns
    -------
    dict
        Models by engine. Every model has an engine; if there are fewer engines than
        models, engines serve several.
    """
    engines = sorted(engines, key=lambda engine: engine.id)
    models = sorted(shares)
    if not engines or not models:
        return {}
    if len(engines) <= len(models):
        assignment: dict[str, list[str]] = {engine.id: [] for engine in engines}
        for number, model in enumerate(models):
            assignment[engines[number % len(engines)].id].append(model)
        return {engine: tuple(served) for engine, served in assignment.items()}
    if len(models) == 1:
        return {engine.id: (models[0],) for engine in engines}
    if by_capacity and is_uneven(engines):
        if knows_paces(engines):
            return assign_by_capacity(engines, shares, lengths)
        engines = [attrs.evolve(engine, usual_pace=0.0) for engine in engines]
    slow = slow_engines(engines)
    order = sort_by_length(engines, slow, models, lengths)
    counts = count_engines(engines, shares, len(slow), order[0])
    return place_engines(engines, slow, order, counts)


def slow_engines(engines: list[EngineView]) -> set[str]:
    """Return the ids of the engines whose hardware is slower than the fastest one's."""
    best = min(
        (engine.usual_pace for engine in engines if engine.usual_pace), default=0.0
    )
    return {engine.id for engine in engines if is_slower(engine.usual_pace, best)}


def sort_by_length(engines, slow, models, lengths) -> list[str]:
    """Sort models by the length of their longest items, shortest first.

    Of models of similar length, the one that most slow engines serve comes first.
    """
    assigned = collections.Counter(e.assigned_model for e in engines if e.id in slow)

    def rank(model: str) -> tuple[int, int, str]:
        length = max(lengths.get(model, 0), 1)
        return (round(math.log(length, SIMILAR_LENGTH_RATIO)), -assigned[model], model)

    return sorted(models, key=rank)


def count_engines(engines, shares, slow: int, shortest: str) -> dict[str, int]:
    """Return how many engines each model gets, at least one.

    Parameters
    ----------
    engines : list of EngineView
    shares : dict
    slow : int
        Number of slower engines.
    shortest : str
        Model of the shortest items, which gets as many engines as there are slower
        ones, if the other models can spare them.
    """
    assigned = collections.Counter(engine.assigned_model for engine in engines)
    counts = {model: assigned[model] for model in sorted(shares)}

    def load(model: str, fewer: int = 0) -> float:
        count = counts[model] - fewer
        return shares[model] / count if count > 0 else math.inf

    def move_engine(donor: str, model: str) -> None:
        counts[donor] -= 1
        counts[model] += 1

    def donor_for(model: str) -> str:
        others = [other for other in counts if other != model]
        return min(others, key=lambda other: load(other, 1))

    while sum(counts.values()) < len(engines):
        counts[max(counts, key=load)] += 1
    while True:
        busiest_model = max(counts, key=load)
        donor = donor_for(busiest_model)
        if load(donor, 1) * REASSIGN_LOAD_RATIO >= load(busiest_model):
            break
        move_engine(donor, busiest_model)
    highest_load = max(map(load, counts))
    while counts[shortest] < slow:
        donor = donor_for(shortest)
        if load(donor, 1) > MAX_DONOR_LOAD_RATIO * highest_load:
            break
        move_engine(donor, shortest)
    return counts


def place_engines(engines, slow, order, counts) -> dict[str, tuple[str, ...]]:
    """Assign engines to the models in order, slower engines first.

    Parameters
    ----------
    engines : list of EngineView
    slow : set of str
        Ids of the slower engines.
    order : list of str
        Models, those of the shortest items first.
    counts : dict
        Number of engines by model.
    """
    unassigned = list(engines)
    assignment = {}
    for model in order:
        unassigned.sort(key=functools.partial(engine_rank, model, slow))
        taken, unassigned = unassigned[: counts[model]], unassigned[counts[model] :]
        assignment |= {engine.id: (model,) for engine in taken}
    return assignment


def engine_rank(model: str, slow, engine: EngineView) -> tuple[bool, int, str]:
    """Return the rank of an engine for a model: slower ones, then those that serve it.

    Engines without a model come before those that serve another one.
    """
    preference = (
        0 if engine.assigned_model == model else 2 if engine.assigned_model else 1
    )
    return (engine.id not in slow, preference, engine.id)


class AssignmentCache:
    """Caches the last result of `assign_models`, while its arguments are equal.

    An agent needs it two to four times in each check of its work, five times a second.
    The cost grows with the number of engines: 0.07 ms per call with 22 of them.
    """

    def __init__(self):
        self.arguments: tuple = ()
        self.assignment: dict[str, tuple[str, ...]] = {}

    def assign(
        self, engines, shares, lengths, by_capacity=False
    ) -> dict[str, tuple[str, ...]]:
        """Return the models that each engine is to serve; see `assign_models`."""
        arguments = (engines, shares, lengths, by_capacity)
        if arguments != self.arguments:
            self.arguments = arguments
            self.assignment = assign_models(*arguments)
        return self.assignment
