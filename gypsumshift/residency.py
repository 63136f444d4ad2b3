"""Data residency: the regions to which the bodies of a request may be sent.

A route or a workspace of the configuration may have home regions. `Residency` is the
decision for one request, `ResidencyRules` makes it from the newest configuration. It is
asked immediately before each send, since the configuration may have changed since the
server was chosen.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs

from gypsumshift.places import UNKNOWN_REGION, Layout

if TYPE_CHECKING:
    from gypsumshift.jobs.records import Job
    from gypsumshift.serving.calls import Call
    from gypsumshift.serving.directory import BackendServer, Directory
    from gypsumshift.serving.routes import Route

__all__ = [
    "ANYWHERE",
    "NO_HOME_SERVER",
    "OUTSIDE_HOMES",
    "Residency",
    "ResidencyRules",
]

# Reasons of refusals, which callers' logs contain.
NO_HOME_SERVER = "no backend server in the home regions of the request"
OUTSIDE_HOMES = "the backend server is outside the home regions of the request"


@attrs.frozen
class Residency:
    """Regions in which a request may be served, cached and stored.

    Attributes
    ----------
    homes : tuple of frozenset of str
        Home regions of its route and of its workspaces, of those that have any. All of
        them apply; without any, the request may run anywhere.
    """

    homes: tuple[frozenset[str], ...] = ()

    @property
    def is_restricted(self) -> bool:
        """Whether the request has home regions."""
        return bool(self.homes)

    def allows(self, region: str) -> bool:
        """Return whether the request's bodies may be sent to a region.

        An unknown region is no home.
        """
        if not self.homes:
            return True
        return region != UNKNOWN_REGION and all(region in home for home in self.homes)


# Residency of a request without home regions.
ANYWHERE = Residency()


class ResidencyRules:
    """Decides by the newest configuration where requests and items may be sent.

    Parameters
    ----------
    directory : Directory
        Provides the configuration.
    layout : Layout
        Provides the regions of servers and processes.
    """

    def __init__(self, directory: "Directory", layout: Layout):
        self.directory = directory
        self.layout = layout

    @property
    def in_force(self) -> bool:
        """Whether any route or workspace has home regions."""
        return self.directory.routes.has_homes

    def of_call(self, call: "Call") -> Residency:
        """Return the residency of a call.

        A route that is no longer configured keeps the homes that the call began with.
        """
        if not self.in_force:
            return ANYWHERE
        path = call.target.partition("?")[0]
        route = self.directory.routes.find(call.host, path) or call.route
        return self.combine(route, (call.grant.workspace, call.reward_for))

    def of_job(self, job: "Job") -> Residency:
        """Return the residency of the items of a batch job."""
        if not self.in_force:
            return ANYWHERE
        route = self.directory.routes.find(job.host, job.path)
        return self.combine(route, (job.workspace,))

    def combine(
        self, route: "Route | None", workspaces: Iterable[str | None]
    ) -> Residency:
        """Return the residency by the homes of a route and of workspaces."""
        by_name = self.directory.routes.workspaces.by_name
        owners = [route, *(by_name.get(name) for name in workspaces)]
        homes = (owner.homes for owner in owners if owner is not None)
        return Residency(tuple(home for home in homes if home))

    def of_own_region(self) -> Residency:
        """Return the residency of data that may hold bodies of unknown requests."""
        if not self.in_force:
            return ANYWHERE
        return Residency((frozenset({self.layout.own.region}),))

    def permits(self, residency: Residency, server: "BackendServer") -> bool:
        """Return whether a residency allows the region of a server."""
        if not residency.is_restricted:
            return True
        return residency.allows(self.layout.region_of(server.zone))

    def may_send(self, call: "Call", server: "BackendServer") -> bool:
        """Return whether a call may be sent to a server now."""
        return self.permits(self.of_call(call), server)

    def may_run(self, job: "Job", server: "BackendServer") -> bool:
        """Return whether items of a job may be sent to an engine now."""
        return self.permits(self.of_job(job), server)

    def may_hold(self, job: "Job") -> bool:
        """Return whether this process may read the bodies of a job's items."""
        return self.of_job(job).allows(self.layout.own.region)

    def may_read(self, job: "Job | None") -> bool:
        """Return whether this process may read the bodies of a job, None if unknown.

        An unknown job may have any homes.
        """
        return self.may_hold(job) if job else not self.in_force

    def permitted(
        self, call: "Call", servers: "list[BackendServer]"
    ) -> "list[BackendServer]":
        """Return those of some servers to which a call may be sent."""
        residency = self.of_call(call)
        if not residency.is_restricted:
            return servers
        return [server for server in servers if self.permits(residency, server)]

    def permitted_for(
        self, route: "Route", workspace: str, servers: "list[BackendServer]"
    ) -> "list[BackendServer]":
        """Return those of some servers that may receive calls of a workspace."""
        if not self.in_force:
            return servers
        residency = self.combine(route, (workspace,))
        return [server for server in servers if self.permits(residency, server)]

    def lacks_home_server(self, call: "Call") -> bool:
        """Return whether a call has homes and none of them has a ready server."""
        residency = self.of_call(call)
        if not residency.is_restricted:
            return False
        servers = self.directory.ready_servers_for(call)
        return not any(self.permits(residency, server) for server in servers)
