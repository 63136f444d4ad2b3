"""Placement: which models an engine serves, and when it loads new weights.

Each agent decides for its own engine from what all see alike, so no message is
needed. Loading takes 0.9 s, and 2.3 s when more than two engines do it at once, and
an engine loads nothing that its trainer's steps do not need: with every engine on
every model, loads cost a tenth of what a day earned (measured on a trial).
"""

import attrs

from gypsumshift.jobs.model import Job

__all__ = ["Demand", "LoadChoice", "LoadQuestion", "assign", "choose_load"]

# Steps of a model whose sizes make up its demand.
STEPS_KEPT = 3
# Seconds after a version was named by which the second half of the engines loads
# it: by then the first half has loaded, and takes the work meanwhile.
SECOND_TURN = 1.3


class Demand:
    """Output tokens that each model is asked for, by its newest steps."""

    def __init__(self):
        self.sizes: dict[str, dict[str, float]] = {}

    def add(self, job: Job) -> None:
        """Take a batch job."""
        sizes = self.sizes.setdefault(job.model, {})
        sizes[job.id] = float(sum(u.hint * len(u.items) for u in job.units))
        while len(sizes) > STEPS_KEPT:
            del sizes[next(iter(sizes))]

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


def assign(servers: list[str], shares: dict[str, float]) -> dict[str, tuple[str, ...]]:
    """Return the models that each server is to serve.

    Parameters
    ----------
    servers : list of str
        Ids of the ready servers of the service.
    shares : dict
        Share of the work by model, summing to 1.

    Returns
    -------
    dict
        Every model has a server where there are enough; where there are fewer
        servers than models, each serves several.
    """
    servers = sorted(servers)
    models = sorted(shares)
    if not servers or not models:
        return {}
    if len(servers) <= len(models):
        placed: dict[str, list[str]] = {server: [] for server in servers}
        for number, model in enumerate(models):
            placed[servers[number % len(servers)]].append(model)
        return {server: tuple(own) for server, own in placed.items()}
    counts = seats(shares, len(servers))
    order = [model for model in models for _ in range(counts[model])]
    return {server: (model,) for server, model in zip(servers, order, strict=True)}


def seats(shares: dict[str, float], total: int) -> dict[str, int]:
    """Return whole numbers that sum to ``total``, at least one for each model."""
    counts = dict.fromkeys(shares, 1)
    for _ in range(total - len(shares)):
        # The next server goes where each serves the greatest share so far.
        neediest = max(sorted(shares), key=lambda m: shares[m] / counts[m])
        counts[neediest] += 1
    return counts


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
    one_version : bool
        Whether a text must come from one version, so that a load restarts what runs.
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
    one_version: bool = False

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
    elif asked.rank < asked.missing and (asked.begun or asked.one_version):
        reason = "half of the engines are to have it"
    elif asked.half_loaded and asked.begun and not asked.one_version:
        reason = "the step that it allows has begun"
    else:
        return None
    return LoadChoice(asked.model, asked.newest, reason)
