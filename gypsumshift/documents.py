"""Read files of JSON with comments, and check them against a JSON Schema."""

import importlib.resources
import json
import pathlib
import re

import cattrs
import json5
import jsonschema

from gypsumshift.outcomes import Invalid, Problem

__all__ = ["build", "check_against_schema", "load_schema", "parse", "read_file"]

# Message of json5: the input's name, the line, and the error.
PARSER_MESSAGE = re.compile(r"^(?:<string>|[^:]*):(\d+)\s*(.*)$", re.DOTALL)
MAX_SHOWN_VALUE = 60


def load_schema(name: str) -> dict:
    """Return the JSON Schema in a file that is part of this package."""
    folder = importlib.resources.files("gypsumshift.generated")
    return json.loads((folder / name).read_text())


def read_file(path: pathlib.Path) -> object | Invalid:
    """Parse a file of JSON with comments."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        problem = Problem(
            str(path), error.strerror or "unreadable", "name another file"
        )
        return Invalid((problem,))
    except UnicodeDecodeError:
        problem = Problem(
            str(path), "the file is not UTF-8 text", "save the file as UTF-8 text"
        )
        return Invalid((problem,))
    return parse(text, str(path))


def parse(text: str, name: str) -> object | Invalid:
    """Parse a text of JSON with comments; ``name`` stands for its file."""
    if not text.strip():
        return Invalid((Problem(name, "the file is empty", "write an object: {}"),))
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        return Invalid((syntax_problem(str(error), text, name),))
    except RecursionError:
        return Invalid(
            (Problem(name, "nested too deeply to be parsed", "use fewer levels"),)
        )


def syntax_problem(message: str, text: str, name: str) -> Problem:
    """Return the problem that an error message of the parser describes."""
    match = PARSER_MESSAGE.match(message)
    where = f"{name}:{match[1]}" if match else name
    what = " ".join((match[2] if match else message).split())
    if has_unclosed_comment(text):
        line = text[: text.rindex("/*")].count("\n") + 1
        return Problem(f"{name}:{line}", "a comment is not closed", "end it with */")
    fix = "write JSON; comments with // or /* */ are allowed"
    if "uplicate" in what:
        fix = "keep one of the two keys"
    return Problem(where, what, fix)


def has_unclosed_comment(text: str) -> bool:
    """Return whether the last block comment of a text is not closed."""
    start = text.rfind("/*")
    return start >= 0 and "*/" not in text[start:]


def check_against_schema(value: object, schema: dict, name: str) -> list[Problem]:
    """Return all violations of a JSON Schema by a value, ordered by path."""
    validator = jsonschema.Draft202012Validator(
        schema, format_checker=jsonschema.Draft202012Validator.FORMAT_CHECKER
    )
    errors = sorted(validator.iter_errors(value), key=lambda e: list(map(str, e.path)))
    return [schema_problem(error, name) for error in errors]


def schema_problem(error: jsonschema.ValidationError, name: str) -> Problem:
    """Return the problem that an error of the JSON Schema validator describes."""
    path = "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in error.path
    )
    where = f"{name}: {path.lstrip('.') or 'the top level'}"
    expected = error.schema.get("description", "see the schema")
    if error.validator == "additionalProperties":
        allowed = ", ".join(error.schema.get("properties", {}))
        return Problem(where, error.message, f"use one of: {allowed}")
    if error.validator == "required":
        return Problem(where, error.message, "add it")
    what = error.message
    if len(what) > 2 * MAX_SHOWN_VALUE:
        what = f"{str(error.instance)[:MAX_SHOWN_VALUE]}… violates {error.validator!r}"
    return Problem(where, what, f"expected: {expected[0].lower()}{expected[1:]}")


def build(value: object, kind: type):
    """Convert a checked value to an object of a generated class."""
    return cattrs.structure(value, kind)
