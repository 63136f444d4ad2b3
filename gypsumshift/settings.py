"""Load and check the settings of a process."""

import os
import pathlib

from gypsumshift import documents, platforms
from gypsumshift.generated.settings import Settings
from gypsumshift.outcomes import Invalid, Problem

__all__ = ["Settings", "load", "operator_token"]

SCHEMA = "settings.schema.json"
OPERATOR_TOKEN_VARIABLE = "GYPSUMSHIFT_OPERATOR_TOKEN"
SIDECAR_REQUIRED_FIELDS = ("pool", "backend", "backend_url")


def load(path: pathlib.Path) -> Settings | Invalid:
    """Load the settings in a file; return all problems if they are invalid."""
    value = documents.read_file(path)
    if isinstance(value, Invalid):
        return value
    problems = documents.check_against_schema(
        value, documents.load_schema(SCHEMA), str(path)
    )
    if problems:
        return Invalid(tuple(problems))
    settings = documents.build(value, Settings)
    problems = cross_check(settings, str(path))
    return Invalid(tuple(problems)) if problems else settings


def cross_check(settings: Settings, name: str) -> list[Problem]:
    """Return the problems that the schema cannot express."""
    problems = []
    if settings.role == "sidecar":
        for field in SIDECAR_REQUIRED_FIELDS:
            if not getattr(settings, field):
                what = "a sidecar requires this field"
                problems.append(Problem(f"{name}: {field}", what, f"set {field}"))
    scheme = settings.platform.partition(":")[0]
    known = set(platforms.BUILT_IN_ADAPTERS) | set(platforms.ADAPTERS)
    if scheme not in known:
        what = f"no adapter for the scheme {scheme!r}"
        fix = f"use one of: {', '.join(sorted(known))}"
        problems.append(Problem(f"{name}: platform", what, fix))
    token_file = settings.operator_token_file
    if token_file and not pathlib.Path(token_file).is_file():
        what = f"there is no file {token_file!r}"
        fix = "write the token into this file, or leave the field out"
        problems.append(Problem(f"{name}: operator_token_file", what, fix))
    return problems


def operator_token(settings: Settings) -> str:
    """Return the bearer token of the operator API; empty if none is required."""
    if settings.operator_token_file:
        return pathlib.Path(settings.operator_token_file).read_text().strip()
    return os.environ.get(OPERATOR_TOKEN_VARIABLE, "")
