"""Room: what a model engine can take beside what it runs.

The decision answers steps with a few items that are ten times as long as the others.
Memory binds before places do then: an engine that took the eight longest of a step had
memory for the ends of three, and put the others back for up to 2.8 s each.
"""

import attrs

__all__ = ["NO_CAPACITY", "FreeCapacity"]

# Part of an engine's memory that estimates may fill. They are over by an eighth in the
# mean, and items that begin one after the other do not end together. A third long item
# then fits where memory is for 2.7; it loses half a second at the most.
MEMORY_SHARE = 1.15


@attrs.frozen
class FreeCapacity:
    """What an engine has room for.

    Attributes
    ----------
    places : int
        Requests beside those that it runs.
    memory : int
        Tokens that it can hold in all; 0 for unknown.
    running : tuple of int
        Tokens that each request that it runs is estimated to hold at its end.
    """

    free_slots: int
    memory: int = 0
    running: tuple[int, ...] = ()

    def fits(self, count: int, tokens: int) -> bool:
        """Tell whether some items can run to their ends beside what runs.

        Parameters
        ----------
        count : int
        tokens : int
            Estimated at the end of the longest one.
        """
        if count > self.free_slots:
            return False
        # What is too large for every engine is refused by the first it comes to.
        alone = not self.running
        return not self.memory or alone or self.peak(count, tokens) <= self.limit

    @property
    def limit(self) -> float:
        """Tokens up to which estimates may go."""
        return MEMORY_SHARE * self.memory

    def peak(self, count: int, tokens: int) -> int:
        """Return the most tokens that are held at a time, with some items more.

        All grow at one pace, and what is short has ended before the long ones are
        large: when the k-th longest ends, k items hold as much as it does.
        """
        sizes = sorted([*self.running, *[tokens] * count], reverse=True)
        return max(rank * size for rank, size in enumerate(sizes, 1))


NO_CAPACITY = FreeCapacity(0)
