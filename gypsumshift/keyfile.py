"""Manage the keys of workspaces in a file within a folder of declarations.

The file holds digests only; a key itself is shown once, when it is created.
"""

import json
import pathlib
import secrets

import attrs

from gypsumshift import declarations, documents
from gypsumshift.outcomes import Invalid, Problem
from gypsumshift.workspaces import key_digest

__all__ = ["KEY_FILE", "NewKey", "add_key", "list_keys", "remove_key"]

# Name of the key file in a folder of declarations. Other files of the folder may
# declare keys as well. This one is rewritten with each change, so it has no comments.
KEY_FILE = "keys.json"
# Random bytes in a key: enough that a key cannot be guessed.
KEY_BYTES = 20


@attrs.frozen
class NewKey:
    """A newly created key.

    Attributes
    ----------
    name : str
    text : str
        Secret that callers send; it is not stored.
    """

    name: str
    text: str


def read_keys(folder: pathlib.Path) -> list[dict] | Invalid:
    """Return the keys in a folder's key file; Invalid if any file is invalid."""
    path = folder / KEY_FILE
    if not path.exists():
        return []
    value = documents.read_file(path)
    if isinstance(value, Invalid):
        return value
    catalog = declarations.load(folder)
    return catalog if isinstance(catalog, Invalid) else value.get("keys", [])


def write_keys(folder: pathlib.Path, keys: list[dict]) -> None:
    """Replace a folder's key file atomically."""
    path = folder / KEY_FILE
    temporary = path.with_suffix(".json.new")
    temporary.write_text(json.dumps({"keys": keys}, indent=2) + "\n")
    temporary.replace(path)


def add_key(folder: pathlib.Path, workspace: str, name: str) -> NewKey | Invalid:
    """Create a key for a workspace and add it to a folder's key file.

    If the declarations with the new key are invalid, the file is left unchanged.
    """
    keys = read_keys(folder)
    if isinstance(keys, Invalid):
        return keys
    text = secrets.token_urlsafe(KEY_BYTES)
    key = {"name": name, "workspace": workspace, "digest": key_digest(text)}
    existed = (folder / KEY_FILE).exists()
    write_keys(folder, [*keys, key])
    catalog = declarations.load(folder)
    if not isinstance(catalog, Invalid):
        return NewKey(name, text)
    if existed:
        write_keys(folder, keys)
    else:
        (folder / KEY_FILE).unlink()
    return catalog


def remove_key(folder: pathlib.Path, name: str) -> Invalid | None:
    """Remove a key from a folder's key file; return the problem if it is not there."""
    keys = read_keys(folder)
    if isinstance(keys, Invalid):
        return keys
    remaining = [key for key in keys if key["name"] != name]
    if len(remaining) == len(keys):
        known = ", ".join(key["name"] for key in keys) or "none"
        where = str(folder / KEY_FILE)
        return Invalid(
            (Problem(where, f"there is no key {name!r}", f"the file has: {known}"),)
        )
    write_keys(folder, remaining)
    return None


def list_keys(folder: pathlib.Path) -> list[dict] | Invalid:
    """Return the keys in all files of a folder: name, workspace and digest."""
    catalog = declarations.load(folder)
    return catalog if isinstance(catalog, Invalid) else catalog.source["keys"]
