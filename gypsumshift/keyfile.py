"""Key file: the keys of a folder of declarations, in a file that the tool writes.

Only digests are kept. A key is shown once, when it is made.
"""

import json
import pathlib
import secrets

import attrs

from gypsumshift import declarations, documents
from gypsumshift.outcomes import Invalid, Problem
from gypsumshift.workspaces import key_digest

__all__ = ["KEY_FILE", "NewKey", "add_key", "list_keys", "remove_key"]

# File in the folder of declarations. Others may hold keys as well; this one the tool
# rewrites, so it keeps no comments.
KEY_FILE = "keys.json"
# Bytes of chance in a key: nobody guesses one.
KEY_BYTES = 20


@attrs.frozen
class NewKey:
    """A key that was just made.

    Attributes
    ----------
    name : str
    text : str
        What callers send; it is kept nowhere.
    """

    name: str
    text: str


def read_keys(folder: pathlib.Path) -> list[dict] | Invalid:
    """Return the declared keys in the file of a folder."""
    path = folder / KEY_FILE
    if not path.exists():
        return []
    value = documents.read_file(path)
    if isinstance(value, Invalid):
        return value
    catalog = declarations.load(folder)
    return catalog if isinstance(catalog, Invalid) else value.get("keys", [])


def write_keys(folder: pathlib.Path, keys: list[dict]) -> None:
    """Write the declared keys of a folder, whole or not at all."""
    path = folder / KEY_FILE
    unfinished = path.with_suffix(".json.new")
    unfinished.write_text(json.dumps({"keys": keys}, indent=2) + "\n")
    unfinished.replace(path)


def add_key(folder: pathlib.Path, workspace: str, name: str) -> NewKey | Invalid:
    """Make a key of a workspace; the folder is left as it is where that is wrong."""
    keys = read_keys(folder)
    if isinstance(keys, Invalid):
        return keys
    text = secrets.token_urlsafe(KEY_BYTES)
    key = {"name": name, "workspace": workspace, "digest": key_digest(text)}
    before = (folder / KEY_FILE).exists()
    write_keys(folder, [*keys, key])
    catalog = declarations.load(folder)
    if not isinstance(catalog, Invalid):
        return NewKey(name, text)
    if before:
        write_keys(folder, keys)
    else:
        (folder / KEY_FILE).unlink()
    return catalog


def remove_key(folder: pathlib.Path, name: str) -> Invalid | None:
    """Take a key away; return what is wrong where there is no such key."""
    keys = read_keys(folder)
    if isinstance(keys, Invalid):
        return keys
    left = [key for key in keys if key["name"] != name]
    if len(left) == len(keys):
        known = ", ".join(key["name"] for key in keys) or "none"
        where = str(folder / KEY_FILE)
        return Invalid((Problem(where, f"no key {name!r}", f"it holds: {known}"),))
    write_keys(folder, left)
    return None


def list_keys(folder: pathlib.Path) -> list[dict] | Invalid:
    """Return the keys of all files of a folder: name, workspace and digest."""
    catalog = declarations.load(folder)
    return catalog if isinstance(catalog, Invalid) else catalog.source["keys"]
