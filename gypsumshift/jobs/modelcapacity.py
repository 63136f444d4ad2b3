"""Division of engines of different pace between models, by work against capacity.

Counted in engines, a model of short items that gets the slow builds has less than half
of the capacity that its work needs, while another has twice as much.
"""

import math
import statistics
from collections.abc import Iterator

import attrs

from gypsumshift.jobs.assignment import class_pace, pace_classes

__all__ = ["assign_by_capacity", "is_uneven", "knows_paces"]

# Ratio of the slowest to the fastest pace above which capacity decides. Up to it, the
# number of engines differs from their capacity by little more than `MIN_GAIN`, and
# slower engines serve the model of the shortest items.
UNEVEN_RATIO = 4 / 3
# Share of the engines whose paces have to be known. Those of a first step become known
# within a second, one by one; until then, engines keep their models, as each change
# costs a load of weights.
MIN_KNOWN_SHARE = 0.75
# Engines change their models only if the busier of the two then has this many times
# less load. The sizes of steps differ by a fifth from one to the next, and an engine
# that changes its model starts no item for a second or two.
MIN_GAIN = 1.25
# Ratio to the time of the longest item of all at the fastest engine up to which an
# engine completes the longest item of its model in time: the step allows for as much.
LONGEST_TIME_RATIO = 1.2


@attrs.define
class ModelCapacities:
    """Engines of each model, and the load that follows.

    Attributes
    ----------
    shares : dict
        Share of the work by model.
    paces : dict
        Pace by engine.
    models : dict
        Model by engine.
    """

    shares: dict[str, float]
    paces: dict[str, float]
    models: dict[str, str]

    def engines_of(self, model: str) -> list[str]:
        """Return the engines of a model, sorted."""
        return sorted(e for e, served in self.models.items() if served == model)

    def load(self, model: str) -> float:
        """Return a model's work over its capacity; infinite without an engine."""
        engines = self.engines_of(model)
        capacity = sum(1 / self.paces[engine] for engine in engines)
        return self.shares[model] / capacity if capacity else math.inf

    def busiest(self) -> str:
        """Return the model with the highest load."""
        return max(sorted(self.shares), key=self.load)

    def changed(self, changes: dict[str, str]) -> "ModelCapacities":
        """Return the division after some engines changed their models."""
        return attrs.evolve(self, models=self.models | changes)

    def relief(self, model: str, donor: str) -> Iterator[dict[str, str]]:
        """Yield moves of an engine to a model, and swaps with a faster engine."""
        own, others = self.engines_of(model), self.engines_of(donor)
        for engine in others:
            if len(others) > 1:
                yield {engine: model}
            for slower in own:
                if self.paces[slower] > self.paces[engine]:
                    yield {engine: model, slower: donor}


def is_uneven(engines) -> bool:
    """Return whether engines differ so much that their number says little."""
    known = [engine.usual_pace for engine in engines if engine.usual_pace]
    return bool(known) and max(known) > UNEVEN_RATIO * min(known)


def knows_paces(engines) -> bool:
    """Return whether enough paces are known to divide the engines by them."""
    known = sum(engine.usual_pace > 0 for engine in engines)
    return known >= MIN_KNOWN_SHARE * len(engines)


def assign_by_capacity(
    engines, shares: dict[str, float], lengths: dict[str, int]
) -> dict[str, tuple[str, ...]]:
    """Return the models that each engine is to serve, one for each engine.

    Engines keep their models unless that leaves one model with much more load than
    another, or without an engine that completes its longest item in time.

    Parameters
    ----------
    engines : list of EngineView
        More engines than models.
    shares : dict
        Share of the work by model, summing to 1.
    lengths : dict
        Estimate of the longest item by model, as far as known.
    """
    known = [engine.usual_pace for engine in engines if engine.usual_pace]
    classes = pace_classes(known)
    usual = statistics.median_low(known)
    paces = {e.id: class_pace(e.usual_pace or usual, classes) for e in engines}
    found = ModelCapacities(shares, paces, {})
    found.models = {
        e.id: e.assigned_model for e in engines if e.assigned_model in shares
    }
    for engine in sorted(paces, key=lambda e: (paces[e], e)):
        if engine not in found.models:
            found.models[engine] = found.busiest()
    found = balance(found)
    for model in sorted(shares):
        found = give_fast_engine(found, model, lengths)
    return {engine: (model,) for engine, model in sorted(found.models.items())}


def balance(found: ModelCapacities) -> ModelCapacities:
    """Move and swap engines until no change lowers the highest load by `MIN_GAIN`."""
    while True:
        model = found.busiest()
        best, lowest = None, found.load(model) / MIN_GAIN
        for donor in sorted(found.shares):
            if donor == model:
                continue
            for changes in found.relief(model, donor):
                after = found.changed(changes)
                load = max(after.load(model), after.load(donor))
                if load < lowest:
                    best, lowest = after, load
        if best is None:
            return found
        found = best


def give_fast_engine(
    found: ModelCapacities, model: str, lengths: dict[str, int]
) -> ModelCapacities:
    """Swap engines if a model has none that completes its longest item in time.

    The other model keeps one, too; of such swaps, the one with the lowest load is made.
    """
    longest = max(lengths.values(), default=0)
    in_time = LONGEST_TIME_RATIO * longest * min(found.paces.values())

    def is_served(division: ModelCapacities, other: str) -> bool:
        paces = [division.paces[engine] for engine in division.engines_of(other)]
        return lengths.get(other, 0) * min(paces) <= in_time

    if is_served(found, model):
        return found
    swaps = [
        (other, found.changed({fast: model, given: other}))
        for fast, other in sorted(found.models.items())
        for given in found.engines_of(model)
        if other != model
    ]
    valid = [
        (max(after.load(model), after.load(other)), number)
        for number, (other, after) in enumerate(swaps)
        if is_served(after, model) and is_served(after, other)
    ]
    return swaps[min(valid)[1]][1] if valid else found
