"""Open batch jobs, the claims of their units, and the candidates for further claims."""

import functools
import statistics

import attrs

from gypsumshift.jobs.records import Claim, Job, UnitSummary
from gypsumshift.jobs.schedule import spare_groups

__all__ = ["Candidate", "OpenJob", "StoredClaim", "estimated_tokens"]


def estimated_tokens(unit: UnitSummary) -> float:
    """Return the size of a unit; one without an estimate counts as a small one."""
    return float(max(unit.hint, 1) * len(unit.items))


@attrs.frozen
class StoredClaim:
    """A claim with the version of its row.

    Attributes
    ----------
    claim : Claim
    version : int
        Version of its row, which a write that replaces it has to name.
    seen_at : float
        When it was received, by the monotonic clock, in seconds.
    """

    claim: Claim
    version: int
    seen_at: float


@attrs.frozen
class Candidate:
    """A unit that may be claimed.

    Attributes
    ----------
    job : Job
    unit : UnitSummary
    version : int
        Version that the row of its claim must have.
    taken_over : bool
        Whether another agent held it before.
    silent_claim : Claim or None
        Claim of an agent without a recent heartbeat, which has to be probed first.
    planned : bool
        Whether the unit was chosen by expected end.
    """

    job: Job
    unit: UnitSummary
    version: int
    taken_over: bool
    silent_claim: Claim | None = None
    planned: bool = False


@attrs.define
class OpenJob:
    """An open job, with the order of its units and their claims.

    Attributes
    ----------
    job : Job
    first_seen_at : float
        When it was first seen, by the monotonic clock, in seconds.
    order, short_order : list of UnitSummary
        Order in which its units are claimed, and the order for slower engines.
    long_units : frozenset of str
        Keys of the units of long items.
    claims : dict
        `StoredClaim` by unit; changed by `set_claim` only.
    units : dict
        Units by key.
    unfinished_order : list of UnitSummary or None
        Result of `unfinished`; None after a change.
    """

    job: Job
    first_seen_at: float
    order: list[UnitSummary]
    short_order: list[UnitSummary]
    long_units: frozenset[str]
    claims: dict[str, StoredClaim] = attrs.field(factory=dict)
    units: dict[str, UnitSummary] = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda open_job: {unit.key: unit for unit in open_job.order},
            takes_self=True,
        ),
    )
    unfinished_order: list[UnitSummary] | None = attrs.field(init=False, default=None)

    @functools.cached_property
    def spare_groups(self) -> set[str]:
        """Groups that the trainer does not wait for."""
        return spare_groups(list(self.job.units), self.job.groups_needed)

    @functools.cached_property
    def needed_tokens(self) -> float:
        """Estimated output tokens of the groups that the trainer waits for."""
        spare = self.spare_groups
        needed = [unit for unit in self.job.units if unit.group not in spare]
        return sum(map(estimated_tokens, needed), 0.0)

    @functools.cached_property
    def usual_hint(self) -> float:
        """Median estimate of the units, in output tokens; 0 without units."""
        hints = [unit.hint for unit in self.job.units]
        return statistics.median(hints) if hints else 0

    def set_claim(self, key: str, stored: StoredClaim) -> None:
        """Set the claim of a unit."""
        known = self.claims.get(key)
        if stored.claim.done or (known is not None and known.claim.done):
            self.unfinished_order = None
        self.claims[key] = stored

    def unfinished(self) -> list[UnitSummary]:
        """Return the units that are not done, in the order in which they are claimed.

        The list is shared until a unit is done. Most units of an open step are, and
        each look for work visits the others.
        """
        if self.unfinished_order is None:
            claims = self.claims
            self.unfinished_order = [
                unit
                for unit in self.order
                if unit.key not in claims or not claims[unit.key].claim.done
            ]
        return self.unfinished_order
