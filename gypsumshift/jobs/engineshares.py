"""Division of the engines between workspaces when open steps need more than there is.

A step is of use only if all of it is complete in time. If each workspace, and each
trainer of one, always got its part of the engines, all steps would be late. So steps
are admitted as a whole, one after another, and the others yield. The workspace comes
next that was served least. Over some steps, the capacity is thereby divided by max-min
fairness between workspaces: one that needs less than its part never waits for others.

Nothing here depends on a clock or on the order of the steps, so agents with the same
data come to the same division.
"""

import enum
import math
from collections.abc import Collection, Iterable, Mapping

import attrs

__all__ = [
    "BEGUN_SHARE",
    "LOAD_TIME_S",
    "NO_DIVISION",
    "Division",
    "StepNeed",
    "StepRank",
    "divide_engines",
]

# Factor by which estimates of length may be too high; a step whose longest item would
# end too late by less than this may still be complete in time.
ESTIMATE_ERROR = 1.5
# Share of a step's items that must have started for it to come before the steps that
# have not begun: stopping it then would lose a quarter of its work. Every model has an
# engine that begins the items of steps that yield, so a lower share is no evidence.
BEGUN_SHARE = 0.25
# Share of the time left in which an admitted step is planned to be complete. The rest
# is for engines that are still busy with other items when the step is admitted, and
# for estimates that are too low.
PLANNED_SHARE = 0.6


# Time that an engine takes to load the weights of another model.
LOAD_TIME_S = 0.9


class StepRank(enum.IntEnum):
    """Rank of an open step; units of steps of a lower rank are claimed first.

    Attributes
    ----------
    ADMITTED
        Engines are assigned for it.
    WAITS
        It can be complete in time, but yields to admitted steps.
    LATE
        It cannot be complete in time any more, or all its items have started.
    """

    ADMITTED = 0
    WAITS = 1
    LATE = 2


@attrs.frozen
class StepNeed:
    """What an open step still needs.

    Attributes
    ----------
    job, model, workspace : str
    submitted : float
        Time of submission by the store's clock, in seconds.
    tokens : float
        Estimated tokens that are still to be generated for the groups that the trainer
        waits for; 0 if no engine needs to start any more of their items.
    total_tokens : float
        The same at the time of submission.
    step_time_s : float
        Time from the submission until the step is late, in seconds.
    begun_share : float
        Share of the same groups' tokens in items that have started.
    longest_s : float
        Time that the longest item takes that has not started, in seconds.
    left_s : float
        Time left in which the items have to start for the step to be complete in time,
        in seconds.
    served_at : float
        Time of submission of the last step of the same trainer whose items have all
        started; negative infinity for none.
    """

    job: str
    model: str
    workspace: str
    submitted: float
    tokens: float
    total_tokens: float
    step_time_s: float
    begun_share: float
    longest_s: float
    left_s: float
    served_at: float = -math.inf

    def can_be_in_time(self, capacity: float) -> bool:
        """Return whether the step can be complete in time with all engines.

        Parameters
        ----------
        capacity : float
            Tokens per second of all engines.
        """
        return (
            0 < self.tokens <= self.left_s * capacity
            and self.longest_s <= ESTIMATE_ERROR * self.left_s
        )

    @property
    def usual_rate(self) -> float:
        """Tokens per second with which the whole step takes the time that it has."""
        return self.total_tokens / self.step_time_s

    @property
    def planned_rate(self) -> float:
        """Tokens per second that are planned for the step once it is admitted."""
        return self.tokens / (PLANNED_SHARE * self.left_s)

    @property
    def has_begun(self) -> bool:
        """Whether a considerable part of the step has started."""
        return self.begun_share >= BEGUN_SHARE


@attrs.frozen
class Division:
    """Division of the engines' capacity.

    Attributes
    ----------
    rates : dict of str to float
        Tokens per second by model; empty if the capacity suffices for all.
    ranks : dict of str to StepRank
        Rank of each open step by job; empty if the capacity suffices for all.
    """

    rates: dict[str, float] = attrs.field(factory=dict)
    ranks: dict[str, StepRank] = attrs.field(factory=dict)

    def shares(self, models: Collection[str]) -> dict[str, float]:
        """Return each model's share of the engines; empty if they are not divided."""
        rates = {model: self.rates.get(model, 0.0) for model in models}
        total = sum(rates.values())
        return {model: rate / total for model, rate in rates.items()} if total else {}


NO_DIVISION = Division()


def divide_engines(
    steps: Iterable[StepNeed],
    capacity: float,
    served: Mapping[str, float],
    previous: Division = NO_DIVISION,
) -> Division:
    """Divide the engines' capacity between steps that need more than there is.

    Parameters
    ----------
    steps : iterable of StepNeed
        All open steps.
    capacity : float
        Tokens per second of all engines.
    served : mapping
        Tokens that were started lately for admitted steps, by workspace.
    previous : Division
        Division before. Its admitted steps stay admitted, and its models keep their
        engines while no step can be in time.
    """
    steps = list(steps)
    in_time = [step for step in steps if step.can_be_in_time(capacity)]
    admitted = admit_steps(in_time, capacity, served, previous)
    names = {step.job for step in admitted}
    ranks = {step.job: StepRank.LATE for step in steps}
    ranks |= {step.job: StepRank.WAITS for step in in_time}
    ranks |= dict.fromkeys(names, StepRank.ADMITTED)
    return Division(rates_by_model(steps, admitted, capacity, previous), ranks)


def admit_steps(
    steps: list[StepNeed],
    capacity: float,
    served: Mapping[str, float],
    previous: Division,
) -> list[StepNeed]:
    """Return the steps that are admitted, in the order of their admission.

    The first step for which the capacity does not suffice ends the admission, so that
    large steps are not passed over by small ones forever.
    """
    served = dict(served)
    waiting = list(steps)
    admitted: list[StepNeed] = []
    left = capacity
    while waiting:
        step = min(waiting, key=lambda step: admission_key(step, served, previous))
        if admitted and step.planned_rate > left:
            break
        waiting.remove(step)
        admitted.append(step)
        left -= step.planned_rate
        served[step.workspace] = served.get(step.workspace, 0.0) + step.tokens
    return admitted


def admission_key(
    step: StepNeed, served: Mapping[str, float], previous: Division
) -> tuple:
    """Return the sort key by which steps are admitted.

    A step that was admitted or has begun stays admitted. Of the others, the workspace
    comes first that was served least, then its trainer whose last completely started
    step is the oldest.
    """
    admitted = previous.ranks.get(step.job) == StepRank.ADMITTED or step.has_begun
    return (
        not admitted,
        served.get(step.workspace, 0.0),
        step.served_at,
        step.submitted,
        step.job,
    )


def rates_by_model(
    steps: list[StepNeed],
    admitted: list[StepNeed],
    capacity: float,
    previous: Division,
) -> dict[str, float]:
    """Return the tokens per second of each model.

    The admitted steps get all of the capacity, in proportion to what is planned for
    them. While there are none, the engines stay with the models whose weights they
    hold.
    """
    weights: dict[str, float] = {}
    for step in admitted:
        weights[step.model] = weights.get(step.model, 0.0) + step.planned_rate
    if not sum(weights.values()) and previous.rates:
        return previous.rates
    if not sum(weights.values()):
        for step in steps:
            weights[step.model] = weights.get(step.model, 0.0) + step.usual_rate
    total = sum(weights.values())
    rates = {model: capacity * weight / total for model, weight in weights.items()}
    if previous.rates and not is_worth_loads(rates, admitted, previous):
        return previous.rates
    return rates


def is_worth_loads(
    rates: Mapping[str, float], admitted: list[StepNeed], previous: Division
) -> bool:
    """Return whether a change of the rates gains more than the loads of weights cost.

    The engines that a model gains start nothing while they load its weights. The change
    is worth it if the model's steps need more than these could do in that time.
    """
    tokens: dict[str, float] = {}
    for step in admitted:
        tokens[step.model] = tokens.get(step.model, 0.0) + step.tokens
    gains = {m: rate - previous.rates.get(m, 0.0) for m, rate in rates.items()}
    return any(0 < LOAD_TIME_S * gain < tokens[m] for m, gain in gains.items())
