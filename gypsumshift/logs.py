"""Logs: log lines on standard output, labelled with a component and a process."""

import json
import os
import sys
import time
from collections.abc import Callable

import logbook

from gypsumshift.tokenbucket import TokenBucket

__all__ = ["RateLimitedEvents", "RateLimitedStream", "configure", "event", "logger"]

# Maximum rate of log lines of one process. At 300 bytes a line this is 60 kB/s, which a
# host with 30 Mbit/s can spare.
LINES_PER_SECOND = 200.0
# Maximum number of lines in a burst after a quiet period.
BURST_LINES = 600.0

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name} "
    "{record.extra[process]} {record.channel}: {record.message}"
)


def logger(part: str) -> logbook.Logger:
    """Return the logger of a component, whose lines are labelled with ``part``."""
    return logbook.Logger(part)


def event(log: logbook.Logger, message: str, **fields) -> None:
    """Log an event at level info, with the values that explain it as fields."""
    log.info("{}", message, extra=fields)


class RateLimitedEvents:
    """Logs events of one kind, with a minimum time between two lines.

    Parameters
    ----------
    log : logbook.Logger
    interval : float
        Seconds.

    Attributes
    ----------
    unlogged : int
        Number of events without a line since the last line, which the next one tells.
    """

    def __init__(self, log: logbook.Logger, interval: float):
        self.log = log
        self.interval = interval
        self.logged_at = float("-inf")
        self.unlogged = 0

    def event(self, now: float, message: str, **fields) -> None:
        """Log an event that happens at the monotonic time ``now``, or count it."""
        if now - self.logged_at < self.interval:
            self.unlogged += 1
            return
        event(self.log, message, unlogged=self.unlogged, **fields)
        self.logged_at = now
        self.unlogged = 0


class RateLimitedStream:
    """Stream that drops lines instead of blocking or exceeding a rate limit.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    monotonic : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    lines : TokenBucket
        Lines that may be written now.
    dropped : int
        Number of lines dropped since the last one that was written.
    unwritten : bytes
        Rest of a line of which the descriptor accepted only a part.
    """

    def __init__(self, descriptor: int, monotonic: Callable[[], float]):
        self.descriptor = descriptor
        self.monotonic = monotonic
        self.lines = TokenBucket(LINES_PER_SECOND, BURST_LINES, monotonic())
        self.dropped = 0
        self.unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or drop and count it if the rate limit is exceeded."""
        if not self.lines.take(self.monotonic()):
            self.dropped += 1
            return
        if self.dropped:
            text = f"{self.dropped} lines dropped\n{text}"
        self.write_bytes(text.encode())

    def write_bytes(self, data: bytes) -> None:
        """Write as much as the descriptor accepts, the rest of the last line first."""
        try:
            if self.unwritten:
                written = os.write(self.descriptor, self.unwritten)
                self.unwritten = self.unwritten[written:]
            if self.unwritten:
                self.dropped += 1
                return
            written = os.write(self.descriptor, data)
            self.unwritten = data[written:]
            self.dropped = 0
        except OSError:
            # The reader is gone or too slow. The line is dropped and counted.
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing: only the rest of one line is ever buffered."""


def json_line(record, handler) -> str:
    """Format a log record as one line of JSON."""
    fields = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name.lower(),
        "process": record.extra["process"],
        "part": record.channel,
        "message": record.message,
    }
    fields |= {k: v for k, v in record.extra.items() if k != "process"}
    if record.formatted_exception:
        fields["exception"] = record.formatted_exception
    return json.dumps(fields, default=str)


def configure(process: str, log_format: str = "text", level: str = "info") -> None:
    """Direct the log lines of this process to standard output.

    Parameters
    ----------
    process : str
        Name of the process, which every line contains.
    log_format : {'text', 'json'}
    level : str
        Lowest level that is logged.
    """
    sys.stdout.flush()
    stream = RateLimitedStream(sys.stdout.fileno(), time.monotonic)
    handler = logbook.StreamHandler(stream, level=level.upper())
    handler.format_string = TEXT_FORMAT
    if log_format == "json":
        handler.formatter = json_line
    processor = logbook.Processor(lambda record: record.extra.update(process=process))
    processor.push_application()
    handler.push_application()
