"""Exact limiter of the requests that one process sends to one address."""

import attrs

__all__ = ["WINDOW_SECONDS", "SendLimiter", "SendRecord"]

# Time for which a request counts after its arrival. The rule is a sliding window of
# 1 s; the excess covers the granularity of the clocks of sender and server.
WINDOW_SECONDS = 1.005


@attrs.define(eq=False)
class SendRecord:
    """A request that counts against the limit.

    Attributes
    ----------
    sent_at : float or None
        Time at which it was sent, by the monotonic clock; None while it is reserved.
    arrived_by : float or None
        Time by which it has arrived or never will; None while that is unknown.
    spacing : float
        Seconds by which it delays the next request at the steady rate.
    proved : bool
        Whether it was sent to a start that was known as warm. It counts only if that
        turns out to be cold.
    """

    sent_at: float | None = None
    arrived_by: float | None = None
    spacing: float = 0.0
    proved: bool = False


class SendLimiter:
    """Counts the requests sent to one address, and limits them.

    Each request counts from its reservation until `WINDOW_SECONDS` after it has
    arrived. At most `capacity` requests count at any time, so no window of 1 s contains
    more sends than that, however long requests wait between reservation and send.
    A virtual schedule (GCRA) spaces the reservations at the steady rate.

    Parameters
    ----------
    blocked_until : float
        Monotonic time until which the requests of an earlier process may count. The
        limit is used up until then.

    Attributes
    ----------
    records : list of SendRecord
        Requests that may count.
    due_at : float
        Time at which the next request is due by the steady rate.
    """

    def __init__(self, blocked_until: float):
        self.blocked_until = blocked_until
        self.records: list[SendRecord] = []
        self.due_at = blocked_until

    def prune(self, now: float) -> None:
        """Remove the records that do not count any more."""
        self.records = [r for r in self.records if not self.is_over(r, now)]

    def is_over(self, record: SendRecord, now: float) -> bool:
        """Return whether a request does not count any more."""
        arrived_by = record.arrived_by
        return arrived_by is not None and now - arrived_by > WINDOW_SECONDS

    def used(self, now: float, with_proved: bool = True) -> int:
        """Return the number of requests that count now, reserved ones included."""
        return len(self.counted(now, with_proved))

    def counted(self, now: float, with_proved: bool) -> list[SendRecord]:
        """Return the requests that count now, those on proved connections included."""
        self.prune(now)
        if with_proved:
            return self.records
        return [record for record in self.records if not record.proved]

    def delay(
        self,
        now: float,
        capacity: int,
        rate: float,
        burst: float,
        with_proved: bool = True,
    ) -> float:
        """Return the seconds until a request may be reserved; 0 if it may now.

        Parameters
        ----------
        now : float
            Monotonic time.
        capacity : int
            Maximum number of requests that count at once.
        rate : float
            Requests per second.
        burst : float
            Number of requests that may be sent at once after a pause.
        with_proved : bool
            Whether requests on proved connections count as well.
        """
        counted = self.counted(now, with_proved)
        waits = [
            self.blocked_until - now,
            self.due_at - now - max(burst - 1.0, 0.0) / rate,
        ]
        if len(counted) >= capacity:
            waits.append(self.seconds_to_expiry(now, counted))
        return max(0.0, *waits)

    def seconds_to_expiry(self, now: float, counted: list[SendRecord]) -> float:
        """Return the seconds until the next record is over, as far as known."""
        ends = [
            r.arrived_by + WINDOW_SECONDS - now
            for r in counted
            if r.arrived_by is not None
        ]
        # A record counts up to the very end of its window.
        return max(min(ends, default=WINDOW_SECONDS), 0.0) + 0.001

    def reserve(self, now: float, rate: float) -> SendRecord:
        """Count a request, whether or not the limit allows it."""
        self.prune(now)
        # A server that was not limited until now may have got more than the rate.
        # That is worth one second of the schedule at most.
        self.due_at = min(max(self.due_at, now), now + 1.0) + 1.0 / rate
        record = SendRecord(spacing=1.0 / rate)
        self.records.append(record)
        return record

    def add_proved(self, now: float) -> SendRecord:
        """Count a request on a proved connection as sent now; nothing waits for it."""
        self.prune(now)
        record = SendRecord(sent_at=now, proved=True)
        self.records.append(record)
        return record

    def drop_proved(self) -> None:
        """Stop counting requests on proved connections: they went to an ended start."""
        self.records = [record for record in self.records if not record.proved]

    def begin(self, record: SendRecord, now: float) -> None:
        """Mark a reserved request as sent now."""
        record.sent_at = now

    def sent_count(self, now: float, with_proved: bool = True) -> int:
        """Return the number of requests that were sent and count now."""
        counted = self.counted(now, with_proved)
        return sum(record.sent_at is not None for record in counted)

    def settle(self, record: SendRecord, now: float) -> None:
        """Mark a request as arrived by now; one that was not sent stops counting."""
        if record.sent_at is None:
            self.cancel(record)
        elif record.arrived_by is None:
            record.arrived_by = now

    def cancel(self, record: SendRecord) -> None:
        """Stop counting a request that was not sent or does not count."""
        if record in self.records:
            self.records.remove(record)
            self.due_at -= record.spacing
