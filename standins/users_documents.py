"""Builders for the platform's documents: configuration, batch jobs and settings."""

import base64
import itertools
import json
import types
from collections.abc import Mapping

__all__ = [
    "HOST",
    "MODEL",
    "config",
    "job_body",
    "results_target",
    "route",
    "settings_text",
]

HOST = "users.example"
MODEL = "m"


def route(name: str, **fields) -> dict:
    """Return a route of the configuration whose prefix is its name."""
    defaults = {"host": HOST, "timeout_ms": 3000, "slo_ms": 400, "priority": 1}
    return {"name": name, "prefix": f"/{name}/", **defaults, **fields}


def config(
    version: int = 1,
    routes=(),
    slots: int = 4,
    workspaces: dict[str, list[str]] | None = None,
    priorities: Mapping[str, int] = types.MappingProxyType({}),
) -> dict:
    """Return a configuration with a service ``app`` and a service ``pool`` of engines.

    Parameters
    ----------
    version : int
    routes : iterable of dict
        Added to the default ones, which cover each kind of route.
    slots : int
        Requests that an engine runs concurrently.
    workspaces : dict or None
        Keys by the name of their workspace; None if callers need no keys.
    priorities : mapping
        Priorities by the name of their workspace, for those that have one.
    """
    default_routes = [
        route("app", kind="safe", service="app", attempts=2),
        route("once", kind="unsafe", service="app", attempts=2),
        route("score", kind="safe", service="app", attempts=4, public=True),
        route("batch", kind="rollout", service="pool", attempts=3),
        route("flow", kind="stream", service="pool", attempts=2),
        route("resumed", kind="stream", service="pool", attempts=2, can_resume=True),
    ]
    engine = {"slots": slots, "kv_capacity": 1000, "models": [{"name": MODEL}]}
    services = [{"name": "app"}, {"name": "pool", "engine": engine}]
    value = {
        "version": version,
        "routes": [*default_routes, *routes],
        "services": services,
        "limits": {"max_body_bytes": 1_000_000},
    }
    if workspaces is None:
        return value
    tenants = [{"name": n, "api_keys": keys} for n, keys in workspaces.items()]
    for tenant in tenants:
        if tenant["name"] in priorities:
            tenant["priority"] = priorities[tenant["name"]]
    return value | {"tenants": tenants}


def job_body(job: str, groups: int = 2, size: int = 2, min_version: int = 1) -> bytes:
    """Return the body of a batch job whose items are ``JOB-GROUP-NUMBER``."""
    positions = itertools.product(range(groups), range(size))
    value = {
        "step": 1,
        "model": MODEL,
        "min_version": min_version,
        "target_groups": groups,
        "requests": [item(job, group, number) for group, number in positions],
    }
    return json.dumps(value).encode()


def item(job: str, group: int, number: int) -> dict:
    """Return one item of a batch job; its body is ``GROUP/NUMBER``."""
    name = f"{job}-{group}-{number}"
    return {
        "id": name,
        "path": "/batch/run",
        "headers": {"Model": MODEL, "Length-Hint": "10"},
        "body": base64.b64encode(f"{group}/{number}".encode()).decode(),
        "tokens": 100,
        "group": f"{job}-{group}",
        "scorer": {
            "id": f"score-{name}",
            "host": HOST,
            "path": "/score/1",
            "body": base64.b64encode(b"text").decode(),
        },
    }


def results_target(job: str, after: int = 0) -> str:
    """Return the target that lists the results of a job from a position on."""
    return f"/gypsumshift/lots/{job}?after={after}"


def settings_text(name: str, ip: str, store: tuple[str, int], **fields) -> str:
    """Return the text of one process's settings file."""
    defaults = {
        "node_name": name,
        "zone": "here",
        "ip": ip,
        "platform.addr": f"{store[0]}:{store[1]}",
        "bounds.grace_s": "4",
        # An unknown name, which must be ignored.
        "a.new": "field",
    }
    return "\n".join(f"{key}={value}" for key, value in (defaults | fields).items())
