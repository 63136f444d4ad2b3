"""Average number of estimated tokens per event of the items that an agent completed.

The lengths of items are estimated in tokens, while the pace of an engine is measured in
events, of which each may hold several tokens.
"""

import collections

__all__ = ["EventSize"]

# Completed items that the average covers: estimates of single items are off by half, so
# that the average of this many is off by about 6 %.
MAX_ITEMS = 64


class EventSize:
    """Average number of estimated tokens per event over the last completed items."""

    def __init__(self):
        self.items: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=MAX_ITEMS
        )

    def record_item(self, tokens: int, events: int) -> None:
        """Record a completed item; one without an estimate or events is ignored.

        Parameters
        ----------
        tokens : int
            Estimated length of the item.
        events : int
            Number of events that it had.
        """
        if tokens > 0 and events > 0:
            self.items.append((tokens, events))

    def tokens_per_event(self) -> float:
        """Return the average number of tokens per event; 0 if unknown."""
        events = sum(events for _, events in self.items)
        return sum(tokens for tokens, _ in self.items) / events if events else 0.0
