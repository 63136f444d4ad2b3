"""Free capacity of a model engine, in request slots and in memory.

In steps with a few items that are ten times as long as the others, memory runs out
before slots do: an engine that was given the eight longest items of a step had memory
to complete three of them, and preempted the others for up to 2.8 s each.
"""

import attrs

__all__ = ["NO_CAPACITY", "FreeCapacity"]

# Share of an engine's memory that estimates may fill. Estimates are an eighth too high
# on average, and items that start one after the other do not end together. At 1.15, a
# third long item is admitted where there is memory for 2.7; it loses half a second at
# most.
MEMORY_SHARE = 1.15


@attrs.frozen
class FreeCapacity:
    """Capacity that an engine has left beside the requests that it runs.

    Attributes
    ----------
    free_slots : int
        Requests that it can take beside those that it runs.
    memory : int
        Tokens that it can hold in total; 0 for unknown.
    running : tuple of int
        Tokens that each running request is estimated to hold at its end.
    """

    free_slots: int
    memory: int = 0
    running: tuple[int, ...] = ()

    def fits(self, count: int, tokens: int) -> bool:
        """Return whether some items can run to their end beside the running requests.

        Parameters
        ----------
        count : int
        tokens : int
            Tokens that the longest of them is estimated to hold at its end.
        """
        if count > self.free_slots:
            return False
        # An item that is too large for every engine is admitted where nothing else
        # runs; the engine then refuses it.
        alone = not self.running
        return not self.memory or alone or self.peak(count, tokens) <= self.limit

    @property
    def limit(self) -> float:
        """Highest estimated peak, in tokens, with which items are admitted."""
        return MEMORY_SHARE * self.memory

    def peak(self, count: int, tokens: int) -> int:
        """Return the estimated peak of held tokens if further items are added.

        All items grow at the same pace, and short ones have ended before long ones
        are large: when the k-th longest ends, k items hold as many tokens as it does.
        """
        sizes = sorted([*self.running, *[tokens] * count], reverse=True)
        return max(rank * size for rank, size in enumerate(sizes, 1))


NO_CAPACITY = FreeCapacity(0)
