"""Placement: which models an engine serves, and when it loads new weights.

Each agent decides for its own engine from what all see alike: the listed engines, the
newest steps, and what agents tell of their engines in their heartbeats. An engine stays
with its model unless that costs balance, since one that changes it has old weights.
Engines that are built slower serve the models of the shortest items: the longest ones
take 7.3 s of the 7.5 s of a step, and 9.4 to 10.2 s at such an engine. Loading takes
0.9 s, and 2.3 s when more than two engines do it at once, and an engine loads nothing
that its trainer's steps do not need: with every engine on every model, loads cost a
tenth of what a day earned (measured on a trial).
"""

import collections
import functools
import math

import attrs

from gypsumshift.jobs.pace import is_slower
from gypsumshift.jobs.records import Job

__all__ = [
    "Demand",
    "EngineView",
    "LoadChoice",
    "LoadQuestion",
    "Remembered",
    "assign",
    "choose_load",
]

# Steps of a model whose sizes make up its demand.
STEPS_KEPT = 3
# Seconds after a version was named by which the second half of the engines loads
# it: by then the first half has loaded, and takes the work meanwhile.
SECOND_TURN = 1.3
# An engine changes its model where the busiest model's load on each engine falls by
# this factor at least: the sizes of steps differ by a fifth from one to the next, and
# an engine that changes begins nothing for a second or two.
WORTH_A_CHANGE = 1.25
# Load on each engine, against that of the busiest model, up to which a model gives an
# engine away so that a slower one serves short items: engines were a third full.
WORTH_A_SLOW = 1.5
# Models whose longest items are alike within this factor count as of one length.
ALIKE = 1.3


class Demand:
    """Output tokens that each model is asked for, by its newest steps."""

    def __init__(self):
        self.sizes: dict[str, dict[str, float]] = {}
        self.longest: dict[str, dict[str, int]] = {}

    def add(self, job: Job) -> None:
        """Take a batch job."""
        sizes = self.sizes.setdefault(job.model, {})
        sizes[job.id] = float(sum(u.hint * len(u.items) for u in job.units))
        longest = self.longest.setdefault(job.model, {})
        longest[job.id] = max((unit.hint for unit in job.units), default=0)
        for kept in (sizes, longest):
            while len(kept) > STEPS_KEPT:
                del kept[next(iter(kept))]

    def lengths(self) -> dict[str, int]:
        """Return the longest estimate of each model, in output tokens."""
        return {model: max(kept.values()) for model, kept in self.longest.items()}

    def shares(self, models: tuple[str, ...]) -> dict[str, float]:
        """Return the share of each model; equal ones where nothing is known."""
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
    """What is known of an engine that is to be given a model.

    Attributes
    ----------
    id : str
    home : str
        Model that it serves; empty for none.
    usual : float
        Its usual pace; see `Pace.usual`.
    """

    id: str
    assigned_model: str = ""
    usual_pace: float = 0.0


def assign(
    engines: list[EngineView], shares: dict[str, float], lengths: dict[str, int]
) -> dict[str, tuple[str, ...]]:
    """Return the models that each engine is to serve.

    Parameters
    ----------
    engines : list of EngineView
        The ready engines of the service.
    shares : dict
        Share of the work by model, summing to 1.
    lengths : dict
        Longest items by model, as far as known.

    Returns
    -------
    dict
        Every model has an engine where there are enough; where there are fewer
        engines than models, each serves several.
    """
    engines = sorted(engines, key=lambda engine: engine.id)
    models = sorted(shares)
    if not engines or not models:
        return {}
    if len(engines) <= len(models):
        placed: dict[str, list[str]] = {engine.id: [] for engine in engines}
        for number, model in enumerate(models):
            placed[engines[number % len(engines)].id].append(model)
        return {engine: tuple(own) for engine, own in placed.items()}
    if len(models) == 1:
        return {engine.id: (models[0],) for engine in engines}
    slow = slow_engines(engines)
    order = by_length(engines, slow, models, lengths)
    counts = seats(engines, shares, len(slow), order[0])
    return fill(engines, slow, order, counts)


def slow_engines(engines: list[EngineView]) -> set[str]:
    """Return the ids of the engines that are built slower than the fastest one."""
    best = min(
        (engine.usual_pace for engine in engines if engine.usual_pace), default=0.0
    )
    return {engine.id for engine in engines if is_slower(engine.usual_pace, best)}


def by_length(engines, slow, models, lengths) -> list[str]:
    """Return models from the shortest to the longest items.

    Where they are alike, the one that slow engines serve already comes first.
    """
    homes = collections.Counter(e.assigned_model for e in engines if e.id in slow)

    def rank(model: str) -> tuple[int, int, str]:
        length = max(lengths.get(model, 0), 1)
        return (round(math.log(length, ALIKE)), -homes[model], model)

    return sorted(models, key=rank)


def seats(engines, shares, slow: int, shortest: str) -> dict[str, int]:
    """Return how many engines each model gets, at least one.

    Parameters
    ----------
    engines : list of EngineView
    shares : dict
    slow : int
        Engines that are built slower.
    shortest : str
        Model of the shortest items.
    """
    homes = collections.Counter(engine.assigned_model for engine in engines)
    counts = {model: homes[model] for model in sorted(shares)}

    def load(model: str, fewer: int = 0) -> float:
        count = counts[model] - fewer
        return shares[model] / count if count > 0 else math.inf

    def give(donor: str, model: str) -> None:
        counts[donor] -= 1
        counts[model] += 1

    def donor_for(model: str) -> str:
        others = [other for other in counts if other != model]
        return min(others, key=lambda other: load(other, 1))

    while sum(counts.values()) < len(engines):
        counts[max(counts, key=load)] += 1
    while True:
        needy = max(counts, key=load)
        donor = donor_for(needy)
        if load(donor, 1) * WORTH_A_CHANGE >= load(needy):
            break
        give(donor, needy)
    busiest = max(map(load, counts))
    while counts[shortest] < slow:
        donor = donor_for(shortest)
        if load(donor, 1) > WORTH_A_SLOW * busiest:
            break
        give(donor, shortest)
    return counts


def fill(engines, slow, order, counts) -> dict[str, tuple[str, ...]]:
    """Return the models of the engines: slow ones first to the shortest items."""
    left = list(engines)
    placed = {}
    for model in order:
        left.sort(key=functools.partial(seat_rank, model, slow))
        taken, left = left[: counts[model]], left[counts[model] :]
        placed |= {engine.id: (model,) for engine in taken}
    return placed


def seat_rank(model: str, slow, engine: EngineView) -> tuple[bool, int, str]:
    """Return the rank of an engine for a model: slow ones first, then who stays."""
    stays = 0 if engine.assigned_model == model else 2 if engine.assigned_model else 1
    return (engine.id not in slow, stays, engine.id)


class Remembered:
    """Answers `assign`, working it out anew only where something changed.

    An agent asks two to four times in each look at its work, five times a second, and
    the work grows with the engines: 0.07 ms a time with 22 of them.
    """

    def __init__(self):
        self.asked: tuple = ()
        self.answer: dict[str, tuple[str, ...]] = {}

    def assign(self, engines, shares, lengths) -> dict[str, tuple[str, ...]]:
        """Return the models that each engine is to serve; see `assign`."""
        asked = (engines, shares, lengths)
        if asked != self.asked:
            self.asked = asked
            self.answer = assign(engines, shares, lengths)
        return self.answer


@attrs.frozen
class LoadChoice:
    """A weight version to load, and why.

    Attributes
    ----------
    model : str
    version : int
    reason : str
    """

    model: str
    version: int
    reason: str


@attrs.frozen
class LoadQuestion:
    """What decides whether an engine loads new weights now.

    Attributes
    ----------
    model : str
    own, newest : int
        Versions that the engine has and that is named.
    needed : int
        Version that waiting work asks for at least; -1 where none waits.
    slack : int
        Versions behind the newest one that steps of the model accept.
    versions : tuple of int
        Versions of all engines of the model, as they told the platform last.
    turn : int
        Place of the engine among those, from 0.
    named_since : float
        Seconds since the newest version was named, as seen here.
    step_came : bool
        Whether the step that the newest version allows has come.
    restarts : bool
        Whether a load restarts what runs, since a text must come from one version.
    """

    model: str
    own: int
    newest: int
    needed: int
    slack: int
    versions: tuple[int, ...]
    turn: int
    named_since: float
    step_came: bool
    restarts: bool = False

    @property
    def begun(self) -> bool:
        """Whether that step has begun: all its items are at engines."""
        return self.step_came and self.needed < 0

    @property
    def oldest_useful(self) -> int:
        """Oldest version that the steps to come will accept."""
        return self.newest - self.slack

    @property
    def missing(self) -> int:
        """Engines that are to load the newest version though steps can use them.

        So that half of the engines have it and the next version stops only these:
        engines that steps cannot use load it in any case.
        """
        fresh = [v for v in self.versions if v >= self.newest or self.useless(v)]
        return len(self.versions) // 2 - len(fresh)

    @property
    def half_loaded(self) -> bool:
        """Whether half of the engines have the newest version."""
        fresh = sum(version >= self.newest for version in self.versions)
        return fresh >= len(self.versions) // 2

    @property
    def rank(self) -> int:
        """Place of the engine among those that steps can still use."""
        before = self.versions[: self.turn]
        return sum(v < self.newest and not self.useless(v) for v in before)

    def useless(self, version: int) -> bool:
        """Tell whether the steps to come cannot use an engine with a version."""
        return version < self.oldest_useful


def choose_load(asked: LoadQuestion) -> LoadChoice | None:
    """Return the weight version to load now; None to go on as it is.

    What runs goes on while weights load, but nothing new begins for 0.9 s. Where steps
    accept the version before the newest, an engine therefore loads right after a step
    has begun, when nothing waits for it, half of the engines first. Loading only once
    a step needed it, a lone engine began every other step 1.0 to 1.2 s late, of the
    7.5 s that the step had (logs of a play with three models on five engines).
    Where steps accept the newest only, the second half loads after the first. Decided
    by the versions of all engines rather than by turns alone, which shift when an
    engine comes or goes: then all of them loaded at once, and a step began 1.1 s late.
    """
    if asked.own >= asked.newest:
        return None
    if asked.needed > asked.own:
        reason = "waiting work needs it"
    elif asked.useless(asked.own):
        first = asked.slack or (asked.turn + asked.newest) % 2 == 0
        if not first and asked.named_since < SECOND_TURN:
            return None
        reason = "steps to come cannot use what it has"
    elif asked.rank < asked.missing and (asked.begun or asked.restarts):
        reason = "half of the engines are to have it"
    elif asked.half_loaded and asked.begun and not asked.restarts:
        reason = "the step that it allows has begun"
    else:
        return None
    return LoadChoice(asked.model, asked.newest, reason)
