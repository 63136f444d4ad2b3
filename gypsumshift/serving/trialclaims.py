"""Claims of trials: each trial of a held-back request is made by one process only."""

import enum

from gypsumshift.outcomes import Committed, Conflict, WriteOutcome
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
# Second part of the key of a trial. In the key of a crash it is a process's session.
TRIAL_KIND = "trial"


class ClaimResult(enum.Enum):
    """Result of the attempt to claim a trial.

    Attributes
    ----------
    OWN
        This process has the claim and makes the trial.
    OTHER
        Another process has the claim; it makes the trial or has made it.
    UNCERTAIN
        The store did not answer or could not determine the result.
    """

    OWN = "own"
    OTHER = "another's"
    UNCERTAIN = "unsettled"


class TrialClaims:
    """Claims trials by numbered rows that only one process can create.

    Parameters
    ----------
    store : RowStore
    session : str
        Random identifier of this run of the process, stored in its rows.

    Attributes
    ----------
    claimed : dict
        Version of the row of each trial that this process claimed, by the trial's key.
    withdrawn : dict
        The same for withdrawn trials whose rows are still to be removed.
    """

    def __init__(self, store: RowStore, session: str):
        self.store = store
        self.session = session
        self.claimed: dict[str, int] = {}
        self.withdrawn: dict[str, int] = {}

    async def claim(self, key: str) -> ClaimResult:
        """Claim a trial by creating its row, if there is none yet."""
        value = {"by": self.session, "at": store_time(self.store)}
        outcome = await self.store.commit([Write(CRASHES_TABLE, key, value, ABSENT)])
        if isinstance(outcome, Committed):
            self.claimed[key] = outcome.version
            return ClaimResult.OWN
        if not isinstance(outcome, Conflict):
            return ClaimResult.UNCERTAIN
        # The conflicting row may be of this process: its write was sent twice, or an
        # earlier claim was answered after its time limit.
        row = await self.store.read(CRASHES_TABLE, key)
        if not isinstance(row, Row) or not self.is_unacknowledged(row):
            return ClaimResult.OTHER
        self.claimed[key] = row.version
        return ClaimResult.OWN

    def is_unacknowledged(self, row: Row) -> bool:
        """Return whether a row is a claim of this process that was never confirmed."""
        return row.value.get("by") == self.session and row.key not in self.claimed

    def withdraw(self, key: str) -> None:
        """Queue the row of a trial that no server ran for removal."""
        version = self.claimed.pop(key, None)
        if version is not None:
            self.withdrawn[key] = version

    def discard_claim(self, key: str) -> None:
        """Discard the claim of a trial whose row was removed."""
        self.claimed.pop(key, None)

    async def remove_withdrawn_row(self) -> WriteOutcome:
        """Remove the row of one withdrawn trial, unless the row has a newer version.

        The store may repeat a removal later, when another process may already have
        claimed the trial.
        """
        key, version = next(iter(self.withdrawn.items()))
        write = Write(CRASHES_TABLE, key, expected=version)
        outcome = await self.store.commit([write])
        if isinstance(outcome, (Committed, Conflict)):
            self.withdrawn.pop(key, None)
        return outcome


def split_key(key: str) -> tuple[str, str, str]:
    """Return fingerprint, kind or session, and number in a key."""
    fingerprint, _, rest = key.partition("/")
    kind, _, number = rest.partition("/")
    return fingerprint, kind, number


def trial_key(fingerprint: str, number: int) -> str:
    """Return the key of a trial."""
    return f"{fingerprint}/{TRIAL_KIND}/{number}"


def store_time(store: RowStore) -> float:
    """Return the current time of a store in seconds."""
    return round(store.now().total_seconds(), 3)
