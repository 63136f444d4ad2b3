"""Documents: JSON with comments, read and checked against a JSON Schema."""

import importlib.resources
import json
import pathlib
import re

import cattrs
import json5
import jsonschema

from gypsumshift.outcomes import Invalid, Problem

__all__ = ["build", "check_against_schema", "parse", "read_file", "load_schema"]

PARSER_MESSAGE = re.compile(r"^(?:<string>|[^:]*):(\d+)\s*(.*)$", re.DOTALL)
MAX_SHOWN_VALUE = 60


def load_schema(name: str) -> dict:
    """Return the JSON Schema of that file name."""
    folder = importlib.resources.files("gypsumshift.generated")
    return json.loads((folder / name).read_text())


def read_file(path: pathlib.Path) -> object | Invalid:
    """Return the value in a file of JSON with comments."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        problem = Problem(
            str(path), error.strerror or "unreadable", "name another file"
        )
        return Invalid((problem,))
    except UnicodeDecodeError:
        problem = Problem(str(path), "not UTF-8", "save the file as UTF-8 text")
        return Invalid((problem,))
    return parse(text, str(path))


def parse(text: str, name: str) -> object | Invalid:
    """Return the value in a text of JSON with comments."""
    if not text.strip():
        return Invalid((Problem(name, "the file is empty", "write an object: {}"),))
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        return Invalid((syntax_problem(str(error), text, name),))
    except RecursionError:
        return Invalid((Problem(name, "nested too deep", "write fewer levels"),))


def syntax_problem(message: str, text: str, name: str) -> Problem:
    """Return the problem that a parser's message describes."""
    found = PARSER_MESSAGE.match(message)
    where = f"{name}:{found[1]}" if found else name
    what = " ".join((found[2] if found else message).split())
    if has_unclosed_comment(text):
        line = text[: text.rindex("/*")].count("\n") + 1
        return Problem(f"{name}:{line}", "a comment is not closed", "end it with */")
    mend = "write JSON; comments with // or /* */ are allowed"
    if "uplicate" in what:
        mend = "keep one of the two keys"
    return Problem(where, what, mend)


def has_unclosed_comment(text: str) -> bool:
    """Tell whether the last comment of a text lacks its end."""
    start = text.rfind("/*")
    return start >= 0 and "*/" not in text[start:]


def check_against_schema(value: object, schema: dict, name: str) -> list[Problem]:
    """Return what a JSON Schema finds wrong with a value."""
    validator = jsonschema.Draft202012Validator(
        schema, format_checker=jsonschema.Draft202012Validator.FORMAT_CHECKER
    )
    errors = sorted(validator.iter_errors(value), key=lambda e: list(map(str, e.path)))
    return [schema_problem(error, name) for error in errors]


def schema_problem(error: jsonschema.ValidationError, name: str) -> Problem:
    """Return the problem that a validator's error describes."""
    path = "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in error.path
    )
    where = f"{name}: {path.lstrip('.') or 'the top level'}"
    mend = error.schema.get("description", "see the schema")
    if error.validator == "additionalProperties":
        allowed = ", ".join(error.schema.get("properties", {}))
        return Problem(where, error.message, f"use one of: {allowed}")
    if error.validator == "required":
        return Problem(where, error.message, "add it")
    what = error.message
    if len(what) > 2 * MAX_SHOWN_VALUE:
        what = f"{str(error.instance)[:MAX_SHOWN_VALUE]}… breaks {error.validator!r}"
    return Problem(where, what, f"expected: {mend[0].lower()}{mend[1:]}")


def build(value: object, kind: type):
    """Return a checked value as an object of a generated class."""
    return cattrs.structure(value, kind)
