"""Regression seeds: each run that ever broke a promise, with its cause.

``python -m soak --regression`` plays them all, the tests those marked ``in_tests``.
"""

import attrs

__all__ = ["SEEDS", "RegressionSeed"]

ONCE = (
    "requests that may not be repeated ran twice after their server was killed, since "
    "the number of attempts alone bounded them"
)
LATE = (
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
    RegressionSeed(11, 6, 2, ONCE, in_tests=True),
    RegressionSeed(15, 15, 3, ONCE),
    RegressionSeed(17, 15, 3, ONCE),
    RegressionSeed(106, 6, 2, LATE, in_tests=True),
    RegressionSeed(106, 12, 3, LATE),
    RegressionSeed(203, 12, 3, LATE),
    RegressionSeed(208, 12, 3, LATE),
    RegressionSeed(210, 12, 3, LATE),
)
