"""Bearer tokens of requests (RFC 6750)."""

from gypsumshift.httpserver import Request, Response, problem_response
from gypsumshift.workspaces import Workspaces, key_digest

__all__ = ["bearer_token", "has_workspace_key", "unauthorized"]


def bearer_token(request: Request) -> str:
    """Return the bearer token of a request; empty if there is none."""
    return request.header("authorization").removeprefix("Bearer ").strip()


def has_workspace_key(request: Request, workspace: str, keys: Workspaces) -> bool:
    """Return whether a request may use a workspace.

    It may if it carries a key of the workspace, or if ``keys`` lists no such workspace.
    """
    if workspace not in keys.by_name:
        return True
    found = keys.find_by_digest(key_digest(bearer_token(request)))
    return found is not None and found.name == workspace


def unauthorized(detail: str) -> Response:
    """Return the response to a request whose token is missing or wrong."""
    response = problem_response(401, "not run", detail)
    response.headers.append(("www-authenticate", "Bearer"))
    return response
