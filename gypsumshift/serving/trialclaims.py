"""Claims of trials: each trial of a request held back is made by one process only."""

import enum

from gypsumshift.outcomes import Committed, Conflict, Written
from gypsumshift.platforms import ABSENT, Row, RowStore, Write

__all__ = [
    "CRASHES_TABLE",
    "TRIAL_KIND",
    "ClaimResult",
    "TrialClaims",
    "split_key",
    "store_time",
    "trial_key",
]

CRASHES_TABLE = "crashes"
# Second part of the keys of trials, where those of crashes have a process.
TRIAL_KIND = "trial"


class ClaimResult(enum.Enum):
    """Whose a trial is.

    Attributes
    ----------
    OWN
        This process is to make it.
    OTHER
        Another process makes it, or has.
    UNCERTAIN
        The store did not say.
    """

    OWN = "own"
    OTHER = "another's"
    UNCERTAIN = "unsettled"


class TrialClaims:
    """Numbered rows that only one process can write first.

    Parameters
    ----------
    store : RowStore
    session : str
        Start of this process, by which its rows are known.

    Attributes
    ----------
    claimed : dict
        Version of the row of each trial that this process was to make, by its key.
    withdrawn : dict
        The same of those that came to nothing, whose rows are still to be removed.
    """

    def __init__(self, store: RowStore, session: str):
        self.store = store
        self.session = session
        self.claimed: dict[str, int] = {}
        self.withdrawn: dict[str, int] = {}

    async def claim(self, key: str) -> ClaimResult:
        """Write the row of a trial where there is none."""
        value = {"by": self.session, "at": store_time(self.store)}
        outcome = await self.store.commit([Write(CRASHES_TABLE, key, value, ABSENT)])
        if isinstance(outcome, Committed):
            self.claimed[key] = outcome.version
            return ClaimResult.OWN
        if not isinstance(outcome, Conflict):
            return ClaimResult.UNCERTAIN
        # It may have met itself, sent twice, or one that was answered too late.
        row = await self.store.read(CRASHES_TABLE, key)
        if not isinstance(row, Row) or not self.is_unacknowledged(row):
            return ClaimResult.OTHER
        self.claimed[key] = row.version
        return ClaimResult.OWN

    def is_unacknowledged(self, row: Row) -> bool:
        """Tell whether this process claimed a trial without knowing that it had."""
        return row.value.get("by") == self.session and row.key not in self.claimed

    def withdraw(self, key: str) -> None:
        """Have the row of a trial removed that came to nothing."""
        version = self.claimed.pop(key, None)
        if version is not None:
            self.withdrawn[key] = version

    def discard_claim(self, key: str) -> None:
        """Take that the row of a trial is removed."""
        self.claimed.pop(key, None)

    async def remove_withdrawn_row(self) -> Written:
        """Remove the row of a trial that came to nothing, unless it is a newer one.

        The store may carry a removal out once more, and late: another process may
        have claimed the trial by then.
        """
        key, version = next(iter(self.withdrawn.items()))
        write = Write(CRASHES_TABLE, key, expected=version)
        outcome = await self.store.commit([write])
        if isinstance(outcome, (Committed, Conflict)):
            self.withdrawn.pop(key, None)
        return outcome


def split_key(key: str) -> tuple[str, str, str]:
    """Return fingerprint, kind or process, and number in a key."""
    fingerprint, _, rest = key.partition("/")
    kind, _, number = rest.partition("/")
    return fingerprint, kind, number


def trial_key(fingerprint: str, number: int) -> str:
    """Return the key of a trial."""
    return f"{fingerprint}/{TRIAL_KIND}/{number}"


def store_time(store: RowStore) -> float:
    """Return a store's time in seconds."""
    return round(store.now().total_seconds(), 3)
