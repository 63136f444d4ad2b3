"""Seeds of runs that once violated a guarantee, with the cause of each.

``python -m soak --regression`` runs them all, the tests those with ``in_tests``.
"""

import attrs

from soak.conditions import PLAIN, Conditions

__all__ = ["SEEDS", "RegressionSeed"]

DOUBLE_RUN_CAUSE = (
    "non-repeatable requests ran twice after their server was killed, because only the "
    "number of attempts limited them"
)
LATE_ANSWER_CAUSE = (
    "answers to writes arrived later than the writes in the feed: units that had been "
    "adopted and completed ran again when the answers to their claims arrived, and "
    "items were listed at two positions"
)


@attrs.frozen
class RegressionSeed:
    """A run that violated a guarantee before its cause was fixed.

    Attributes
    ----------
    seed : int
    seconds : float
        Duration of the faults.
    nodes : int
        Number of gateways, agents and workers each.
    cause : str
    in_tests : bool
        Whether the tests run it.
    conditions : Conditions
        Conditions in which it violated the guarantee.
    """

    seed: int
    seconds: float
    nodes: int
    cause: str
    in_tests: bool = False
    conditions: Conditions = PLAIN


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
