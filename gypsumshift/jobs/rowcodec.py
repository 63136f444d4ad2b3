"""Conversion between the records of batch jobs and the values of store rows."""

import base64
import math
from collections.abc import Iterable, Iterator

import cattrs

from gypsumshift import logs
from gypsumshift.platforms import Row

__all__ = ["InvalidRowError", "from_row", "parse_row", "parse_rows", "to_row"]

# Characters of an error that a log line shows; a row may hold 64 KiB.
MAX_DETAIL_CHARS = 300

log = logs.logger("model")


class InvalidRowError(ValueError):
    """A row does not hold the record type of its table; another writer stored it."""


# Errors that `cattrs` raises for a value that does not match the requested type.
CONVERSION_ERRORS = (
    cattrs.BaseValidationError,
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)


def structure_int(value: object, _: type) -> int:
    """Return an integer; raise TypeError for anything else, also for its text."""
    if type(value) is not int:
        raise TypeError(f"not an integer: {value!r:.80}")
    return value


def structure_bool(value: object, _: type) -> bool:
    """Return a Boolean; raise TypeError for anything else."""
    if type(value) is not bool:
        raise TypeError(f"not a Boolean: {value!r:.80}")
    return value


def structure_float(value: object, _: type) -> float:
    """Return a finite number; raise TypeError or ValueError for anything else."""
    if type(value) not in (int, float):
        raise TypeError(f"not a number: {value!r:.80}")
    if not math.isfinite(value):
        raise ValueError("a number is not finite")
    return float(value)


converter = cattrs.Converter(omit_if_default=True)
# A hook for integers applies to Booleans as well, unless these have their own.
converter.register_structure_hook(int, structure_int)
converter.register_structure_hook(bool, structure_bool)
converter.register_structure_hook(float, structure_float)
converter.register_unstructure_hook(bytes, lambda b: base64.b64encode(b).decode())
converter.register_structure_hook(bytes, lambda text, _: base64.b64decode(text))


def to_row(value: object) -> dict:
    """Convert a record to the value of a store row."""
    return converter.unstructure(value)


def from_row(row: dict, kind: type):
    """Convert the value of a store row to a record of type ``kind``.

    Raises
    ------
    InvalidRowError
    """
    try:
        return converter.structure(row, kind)
    except CONVERSION_ERRORS as error:
        detail = repr(error)[:MAX_DETAIL_CHARS]
        raise InvalidRowError(
            f"row value is not a valid {kind.__name__}: {detail}"
        ) from error


def parse_rows(rows: Iterable[Row], kind: type) -> Iterator[tuple[Row, object]]:
    """Yield rows with their records; rows of another type are logged and skipped."""
    for row in rows:
        value = parse_row(row, kind)
        if value is not None:
            yield row, value


def parse_row(row: Row, kind: type):
    """Return the record of a row; log an error and return None for another type."""
    try:
        return from_row(row.value, kind)
    except InvalidRowError as error:
        log.error("Skipping row {}/{}/{}: {}", row.table, row.part, row.key, error)
        return None
