"""Regression seeds: each run that ever broke a promise, with its cause.

``python -m soak --regression`` plays them all, the tests those marked ``in_tests``.
"""

import attrs

__all__ = ["SEEDS", "RegressionSeed"]

DOUBLE_RUN_CAUSE = (
    "requests that may not be repeated ran twice after their server was killed, since "
    "the number of attempts alone bounded them"
)
LATE_ANSWER_CAUSE = (
    "answers to writes came late, behind the feed: units that were adopted and done "
    "ran again at the answers to their claims, and items stood at two positions"
)


@attrs.frozen
class RegressionSeed:
    """One run that broke a promise before its cause was mended.

    Attributes
    ----------
    seed : int
    seconds : float
        Of faults.
    nodes : int
        Gateways, agents and workers, of each so many.
    cause : str
    in_tests : bool
        Whether the tests play it.
    """

    seed: int
    seconds: float
    nodes: int
    cause: str
    in_tests: bool = False


SEEDS = (
    RegressionSeed(11, 6, 2, DOUBLE_RUN_CAUSE, in_tests=True),
    RegressionSeed(15, 15, 3, DOUBLE_RUN_CAUSE),
    RegressionSeed(17, 15, 3, DOUBLE_RUN_CAUSE),
    RegressionSeed(106, 6, 2, LATE_ANSWER_CAUSE, in_tests=True),
    RegressionSeed(106, 12, 3, LATE_ANSWER_CAUSE),
    RegressionSeed(203, 12, 3, LATE_ANSWER_CAUSE),
    RegressionSeed(208, 12, 3, LATE_ANSWER_CAUSE),
    RegressionSeed(210, 12, 3, LATE_ANSWER_CAUSE),
)
