"""Logs: short sentences on standard output, with a fixed prefix per part."""

import json
import os
import sys
import time
from collections.abc import Callable

import logbook

__all__ = ["RateLimitedStream", "configure", "event", "logger"]

# Lines a second that one process writes at the most, and after a quiet time at
# once. At 300 bytes a line that is 60 kB/s, which a 30 Mbit/s host can spare.
LINES_PER_SECOND = 200.0
BURST_LINES = 600.0

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name} "
    "{record.extra[process]} {record.channel}: {record.message}"
)


def logger(part: str) -> logbook.Logger:
    """Return the logger whose lines begin with the prefix ``part``."""
    return logbook.Logger(part)


def event(log: logbook.Logger, message: str, **fields) -> None:
    """Log one decision: a short sentence, and the inputs that decided it."""
    log.info("{}", message, extra=fields)


class RateLimitedStream:
    """Stream that drops lines rather than block or flood its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    monotonic : callable
        Returns seconds.
    """

    def __init__(self, descriptor: int, monotonic: Callable[[], float]):
        self.descriptor = descriptor
        self.monotonic = monotonic
        self.tokens = BURST_LINES
        self.filled_at = monotonic()
        self.dropped = 0
        self.unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write a line, or count it as dropped."""
        now = self.monotonic()
        earned = (now - self.filled_at) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + earned)
        self.filled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            text = f"{self.dropped} lines dropped\n{text}"
        self.write_bytes(text.encode())

    def write_bytes(self, data: bytes) -> None:
        """Write what fits; a line begun is finished before the next."""
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
            # Nobody reads: nothing can be told, so the line is counted instead.
            self.dropped += 1

    def flush(self) -> None:
        """Nothing is held back but the rest of one line."""


def json_line(record, handler) -> str:
    """Format one record as a line of JSON."""
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
    """Send the log lines of this process to standard output.

    Parameters
    ----------
    process : str
        Name of the process, written on every line.
    log_format : {'text', 'json'}
        Format of a line.
    level : str
        Least severe level that is logged.
    """
    sys.stdout.flush()
    stream = RateLimitedStream(sys.stdout.fileno(), time.monotonic)
    handler = logbook.StreamHandler(stream, level=level.upper())
    handler.format_string = TEXT_FORMAT
    if log_format == "json":
        handler.formatter = json_line
    names = logbook.Processor(lambda record: record.extra.update(process=process))
    names.push_application()
    handler.push_application()
