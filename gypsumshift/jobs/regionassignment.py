"""Assignment of models to engines where jobs have home regions.

A model could otherwise be assigned to engines outside of its jobs' homes only, and its
items would wait for weights that no engine in the homes loads.
"""

from collections.abc import Mapping

from gypsumshift.jobs.placement import AssignmentCache, EngineView
from gypsumshift.jobs.records import Job
from gypsumshift.residency import ResidencyRules

__all__ = ["RegionAssignment"]


class RegionAssignment:
    """Assigns models to the engines of each region separately.

    Parameters
    ----------
    residency : ResidencyRules

    Attributes
    ----------
    caches : dict
        `AssignmentCache` by region; the one without a region is for all engines.
    """

    def __init__(self, residency: ResidencyRules):
        self.residency = residency
        self.caches: dict[str | None, AssignmentCache] = {}

    def assign(
        self,
        engines: list[EngineView],
        shares: dict[str, float],
        lengths: dict[str, int],
        by_capacity: bool,
        newest_jobs: Mapping[str, Job],
    ) -> dict[str, tuple[str, ...]]:
        """Return the models that each engine is to serve; see `assign_models`.

        Parameters
        ----------
        engines : list of EngineView
        shares : dict
            Share of the work by model.
        lengths : dict
            Estimate of the longest item by model.
        by_capacity : bool
        newest_jobs : mapping
            Newest job by model, whose homes count.
        """
        if not self.residency.in_force:
            return self.cache(None).assign(engines, shares, lengths, by_capacity)
        groups: dict[str, list[EngineView]] = {}
        for engine in engines:
            groups.setdefault(self.region_of(engine), []).append(engine)
        found: dict[str, tuple[str, ...]] = {}
        for region, members in sorted(groups.items()):
            allowed = self.shares_in(region, shares, newest_jobs)
            found |= self.cache(region).assign(members, allowed, lengths, by_capacity)
        return found

    def cache(self, region: str | None) -> AssignmentCache:
        """Return the cache of a region; of all engines for None."""
        return self.caches.setdefault(region, AssignmentCache())

    def region_of(self, engine: EngineView) -> str:
        """Return the region of an engine."""
        server = self.residency.directory.servers.get(engine.id)
        return self.residency.layout.region_of(server.zone if server else "")

    def shares_in(
        self, region: str, shares: dict[str, float], newest_jobs: Mapping[str, Job]
    ) -> dict[str, float]:
        """Return the shares of the models whose newest job may run in a region.

        All models remain if none may run there.
        """
        allowed = {
            model: share
            for model, share in shares.items()
            if model not in newest_jobs
            or self.residency.of_job(newest_jobs[model]).allows(region)
        }
        total = sum(allowed.values())
        if not total:
            return shares
        return {model: share / total for model, share in allowed.items()}
