"""Logs: short sentences on standard output, with a fixed prefix per part."""

import json
import sys

import logbook

__all__ = ["configure", "logger"]

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name} "
    "{record.extra[process]} {record.channel}: {record.message}"
)


def logger(part: str) -> logbook.Logger:
    """Return the logger whose lines begin with the prefix ``part``."""
    return logbook.Logger(part)


def json_line(record, handler) -> str:
    """Format one record as a line of JSON."""
    fields = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name.lower(),
        "process": record.extra["process"],
        "part": record.channel,
        "message": record.message,
    }
    return json.dumps(fields)


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
    handler = logbook.StreamHandler(sys.stdout, level=level.upper())
    handler.format_string = TEXT_FORMAT
    if log_format == "json":
        handler.formatter = json_line
    names = logbook.Processor(lambda record: record.extra.update(process=process))
    names.push_application()
    handler.push_application()
