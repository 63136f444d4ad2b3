"""Start-time fair queueing: who is served next of those that share a resource.

Each service advances the finish tag of whom it was given to by the inverse of their
weight, and the one with the lowest tag is served next. One that was idle starts at the
current virtual time, so it neither saves up service nor pays for others.
"""

from collections.abc import Iterable

__all__ = ["FairTags"]

# Tags are removed once there are this many times as many as names waiting, beside a
# fixed number, so that removing them costs little per service.
MAX_TAGS_PER_NAME = 4
MIN_TAGS = 256


class FairTags:
    """Finish tags by name, and the virtual time.

    Attributes
    ----------
    finish_tags : dict
        By name; removed when they lie before the virtual time.
    virtual_time : float
        Start tag of the last service.
    """

    def __init__(self):
        self.finish_tags: dict[str, float] = {}
        self.virtual_time = 0.0

    def start_tag(self, name: str) -> float:
        """Return the start tag that the next service of a name would have."""
        return max(self.finish_tags.get(name, 0.0), self.virtual_time)

    def least_served(self, names: Iterable[str]) -> str:
        """Return the name that is served next; the first of several with one tag."""
        return min(names, key=self.start_tag)

    def charge(self, name: str, weight: float, waiting: int) -> None:
        """Advance a name's finish tag by one service.

        Parameters
        ----------
        name : str
        weight : float
        waiting : int
            Number of names that wait, by which the number of tags is bounded.
        """
        start = self.start_tag(name)
        self.virtual_time = start
        self.finish_tags[name] = start + 1.0 / weight
        if len(self.finish_tags) > MAX_TAGS_PER_NAME * waiting + MIN_TAGS:
            self.finish_tags = {
                n: tag for n, tag in self.finish_tags.items() if tag > start
            }
