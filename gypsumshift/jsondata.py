"""JSON that another process wrote: parsed, and refused where it is out of bounds.

Any program may write into the tables of the store. Values that are nested deeply, or
with numbers beyond 64 bits, are valid JSON, and make ordinary code fail far from the
place where they were read: in a copy, a log line or a computation.
"""

import json
import math

__all__ = [
    "MAX_ROW_DEPTH",
    "JsonDataError",
    "check_density",
    "parse_json",
    "parse_json_object",
]

# Maximum depth of arrays and objects in a row of the store; the deepest own value has
# eight levels. Messages are deeper, since processes pass whole tables on to each other.
MAX_ROW_DEPTH = 32
MAX_DEPTH = 64
MAX_INTEGER = 2**63 - 1
# An empty array or object takes 64 bytes and more once it is decoded, and two in the
# text. Messages of requests have 50 bytes and more for each.
MIN_BYTES_PER_CONTAINER = 8
# Arrays and objects that a text may have whatever its size.
FREE_CONTAINERS = 1_000


class JsonDataError(ValueError):
    """A text is not valid JSON, or its value is out of bounds."""


def parse_json(data: bytes | str, max_depth: int = MAX_DEPTH) -> object:
    """Return the value of a JSON text with at most ``max_depth`` levels.

    Raises
    ------
    JsonDataError
        The text is no JSON, nested too deeply, or has a number out of range.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise JsonDataError(f"not valid JSON: {error}") from error
    check_bounds(value, max_depth)
    return value


def parse_json_object(data: bytes | str, max_depth: int = MAX_DEPTH) -> dict:
    """Return the object of a JSON text; raises `JsonDataError` for any other value."""
    value = parse_json(data, max_depth)
    if not isinstance(value, dict):
        raise JsonDataError("not a JSON object")
    return value


def check_density(data: bytes) -> None:
    """Raise `JsonDataError` for a text that takes many times its size once decoded."""
    containers = data.count(b"[") + data.count(b"{") - FREE_CONTAINERS
    if containers * MIN_BYTES_PER_CONTAINER > len(data):
        raise JsonDataError("too many arrays and objects for its size")


def check_bounds(value: object, max_depth: int) -> None:
    """Raise `JsonDataError` if a value is nested too deeply or has such a number."""
    level = [value]
    for _ in range(max_depth + 1):
        inner = []
        for item in level:
            kind = type(item)
            if kind is dict:
                inner.extend(item.values())
            elif kind is list:
                inner.extend(item)
            elif kind is int and not -MAX_INTEGER <= item <= MAX_INTEGER:
                raise JsonDataError("an integer is out of range")
            elif kind is float and not math.isfinite(item):
                raise JsonDataError("a number is not finite")
        if not inner:
            return
        level = inner
    raise JsonDataError(f"nested more than {max_depth} levels deep")
