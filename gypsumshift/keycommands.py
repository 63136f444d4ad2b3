"""Key commands: ``gypsumshift keys``, which gives and takes keys of workspaces."""

import json
import pathlib
import sys
from typing import Annotated

import typer

from gypsumshift import keyfile
from gypsumshift.operatorclient import EXIT_INVALID
from gypsumshift.outcomes import Invalid

__all__ = ["keys_app"]

keys_app = typer.Typer(help="Give and take keys of workspaces, in declarations.")
Folder = Annotated[pathlib.Path, typer.Argument(help="Folder of declarations.")]


def exit_for_invalid(outcome: Invalid) -> typer.Exit:
    """Say what is wrong, a line each; return what ends the command."""
    for problem in outcome.problems:
        print(f"gypsumshift: {problem}", file=sys.stderr)
    return typer.Exit(EXIT_INVALID)


def check_folder(folder: pathlib.Path) -> None:
    """End the command where there is no such folder."""
    if not folder.is_dir():
        print(f"gypsumshift: there is no folder {str(folder)!r}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID)


@keys_app.command("add")
def add(folder: Folder, workspace: str, name: str) -> None:
    """Make a key NAME of a workspace, and print it: it is shown this once."""
    check_folder(folder)
    made = keyfile.add_key(folder, workspace, name)
    if isinstance(made, Invalid):
        raise exit_for_invalid(made)
    print(made.text)
    told = (
        f"{folder / keyfile.KEY_FILE} holds its digest; 'gypsumshift apply' to use it"
    )
    print(told, file=sys.stderr)


@keys_app.command("remove")
def remove(folder: Folder, name: str) -> None:
    """Take the key NAME away."""
    check_folder(folder)
    outcome = keyfile.remove_key(folder, name)
    if isinstance(outcome, Invalid):
        raise exit_for_invalid(outcome)
    print(f"{name} is taken away once 'gypsumshift apply' has put that in force")


@keys_app.command("list")
def show(
    folder: Folder,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show the keys of a folder by name, workspace and digest."""
    check_folder(folder)
    keys = keyfile.list_keys(folder)
    if isinstance(keys, Invalid):
        raise exit_for_invalid(keys)
    if as_json:
        print(json.dumps(keys, indent=2))
        return
    for key in keys:
        print(f"{key['name']}  {key['workspace']}  {key['digest']}")
