"""Seeds of runs that once violated a guarantee, with the cause of each.

``python -m soak --regression`` runs them all, the tests those with ``in_tests``.
"""

import attrs

from soak.conditions import PLAIN, Conditions, choose_conditions

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
LOST_SEND_CAUSE = (
    "a gateway that learned late of a server's restart closed reused connections to "
    "the new process, sent their requests again, and reported the refusal of the "
    "second send as not run, although the first had run"
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


# Seeds with the conditions that they choose.
LOST_SEND_SEEDS = (2004, 2005, 2007, 2009)

SEEDS = (
    RegressionSeed(11, 6, 2, DOUBLE_RUN_CAUSE, in_tests=True),
    RegressionSeed(15, 15, 3, DOUBLE_RUN_CAUSE),
    RegressionSeed(17, 15, 3, DOUBLE_RUN_CAUSE),
    RegressionSeed(106, 6, 2, LATE_ANSWER_CAUSE, in_tests=True),
    RegressionSeed(106, 12, 3, LATE_ANSWER_CAUSE),
    RegressionSeed(203, 12, 3, LATE_ANSWER_CAUSE),
    RegressionSeed(208, 12, 3, LATE_ANSWER_CAUSE),
    RegressionSeed(210, 12, 3, LATE_ANSWER_CAUSE),
    *(
        RegressionSeed(seed, 15, 3, LOST_SEND_CAUSE, conditions=choose_conditions(seed))
        for seed in LOST_SEND_SEEDS
    ),
)
