"""Finds the places in the code that send a body to another process."""

import ast
import pathlib

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("gypsumshift", "platform")
# Methods of `Fetcher` and `StorePath` that send a request, with the position of its
# body, and the last names of the objects that have them.
BODY_POSITION = {
    ("fetcher", "open"): 4,
    ("fetcher", "fetch"): 4,
    ("path", "fetch"): 3,
    ("path", "fetch_direct"): 3,
    ("path", "fetch_via"): 4,
    ("self", "fetch_direct"): 3,
    ("self", "fetch_via"): 4,
}
# Names by which a function asks whether a body may be sent; see `residency`.
QUESTIONS = {"residency", "may_run"}


@attrs.frozen
class Send:
    """A call that sends a body.

    Attributes
    ----------
    module, function : str
    asks : bool
        Whether the function asks for the residency of the body.
    """

    module: str
    function: str
    asks: bool


def last_name(node):
    """Return the last name of an expression such as ``self.path.fetcher``."""
    return getattr(node, "attr", getattr(node, "id", ""))


def sends_body(node):
    """Return whether a node is a call that sends a body."""
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return False
    position = BODY_POSITION.get((last_name(node.func.value), node.func.attr))
    if position is None:
        return False
    named = any(keyword.arg in ("body", None) for keyword in node.keywords)
    starred = any(isinstance(argument, ast.Starred) for argument in node.args)
    if named or starred:
        return True
    if len(node.args) <= position:
        return False
    body = node.args[position]
    return not (isinstance(body, ast.Constant) and body.value == b"")


def find_in_source(source, module):
    """Return the sends in the source of a module, in the order of its functions."""
    found = []
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    for function in ast.walk(ast.parse(source)):
        if not isinstance(function, kinds):
            continue
        nodes = list(ast.walk(function))
        names = {last_name(node) for node in nodes}
        names |= {node.arg for node in nodes if isinstance(node, ast.keyword)}
        found += [
            Send(module, function.name, bool(names & QUESTIONS))
            for node in nodes
            if sends_body(node)
        ]
    return found


def find_sends():
    """Return the sends in the code of the processes."""
    files = [f for folder in FOLDERS for f in sorted((ROOT / folder).rglob("*.py"))]
    return [
        send
        for file in files
        for send in find_in_source(file.read_text(), str(file.relative_to(ROOT)))
    ]


def opening_modules():
    """Return the modules that open connections themselves."""
    found = set()
    for folder in FOLDERS:
        for file in (ROOT / folder).rglob("*.py"):
            names = {last_name(node) for node in ast.walk(ast.parse(file.read_text()))}
            if names & {"open_connection", "create_connection", "sock_connect"}:
                found.add(str(file.relative_to(ROOT)))
    return found
