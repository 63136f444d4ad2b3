"""Services whose engines may run the items of a batch job."""

from gypsumshift.jobs.records import Job
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.routes import Route, RouteTable

__all__ = ["OTHER_SERVICE", "JobServices", "services_of_route"]

OTHER_SERVICE = "the route of the job leads to other services"


class JobServices:
    """Determines the services of jobs from their routes.

    Parameters
    ----------
    directory : Directory
        Provides the routes that are in force.

    Attributes
    ----------
    known : dict
        Services by host and path of a job, by the route table `known_from`.
    """

    def __init__(self, directory: Directory):
        self.directory = directory
        self.known: dict[tuple[str, str], frozenset[str]] = {}
        self.known_from: RouteTable | None = None

    def allows(self, job: Job, service: str) -> bool:
        """Return whether engines of a service may run a job's items.

        The route that is in force decides. Without one, it is the route by which the
        job was accepted; a job that names none is left to every service.
        """
        services = self.by_route(job) or job.services
        return not services or service in services

    def by_route(self, job: Job) -> frozenset[str]:
        """Return the services of a job's current route; empty if it has none."""
        routes = self.directory.routes
        if routes is not self.known_from:
            self.known_from = routes
            self.known = {}
        place = job.host, job.path
        if place not in self.known:
            route = routes.find(*place)
            self.known[place] = services_of_route(route) if route else frozenset()
        return self.known[place]


def services_of_route(route: Route) -> frozenset[str]:
    """Return the services to which a route sends requests."""
    return frozenset(target.service for target in route.targets if target.weight > 0)
