"""Commands ``gypsumshift keys``: add, remove and list the keys of workspaces."""

import json
import pathlib
import sys
from typing import Annotated

import typer

from gypsumshift import keyfile
from gypsumshift.operatorclient import EXIT_INVALID
from gypsumshift.outcomes import Invalid

__all__ = ["keys_app"]

keys_app = typer.Typer(help="Manage the keys of workspaces in declarations.")
Folder = Annotated[pathlib.Path, typer.Argument(help="Folder of declarations.")]


def exit_for_invalid(outcome: Invalid) -> typer.Exit:
    """Print each problem on a line; return the exception that ends the command."""
    for problem in outcome.problems:
        print(f"gypsumshift: {problem}", file=sys.stderr)
    return typer.Exit(EXIT_INVALID)


def check_folder(folder: pathlib.Path) -> None:
    """End the command if the folder does not exist."""
    if not folder.is_dir():
        print(f"gypsumshift: there is no folder {str(folder)!r}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID)


@keys_app.command("add")
def add(folder: Folder, workspace: str, name: str) -> None:
    """Create a key called NAME for a workspace; it is printed this once only."""
    check_folder(folder)
    new_key = keyfile.add_key(folder, workspace, name)
    if isinstance(new_key, Invalid):
        raise exit_for_invalid(new_key)
    print(new_key.text)
    hint = (
        f"its digest is stored in {folder / keyfile.KEY_FILE}; "
        "run 'gypsumshift apply' to put the key in force"
    )
    print(hint, file=sys.stderr)


@keys_app.command("remove")
def remove(folder: Folder, name: str) -> None:
    """Remove the key called NAME."""
    check_folder(folder)
    outcome = keyfile.remove_key(folder, name)
    if isinstance(outcome, Invalid):
        raise exit_for_invalid(outcome)
    print(
        f"{name} is removed from the declarations; "
        "it stays valid until 'gypsumshift apply' puts them in force"
    )


@keys_app.command("list")
def show(
    folder: Folder,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """List the keys in a folder of declarations with their workspaces and digests."""
    check_folder(folder)
    keys = keyfile.list_keys(folder)
    if isinstance(keys, Invalid):
        raise exit_for_invalid(keys)
    if as_json:
        print(json.dumps(keys, indent=2))
        return
    for key in keys:
        print(f"{key['name']}  {key['workspace']}  {key['digest']}")
