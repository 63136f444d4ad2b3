"""Priorities of routes and workspaces in the configuration document."""

import copy

import pytest

from gypsumshift.platforms import Row
from gypsumshift.serving import Directory
from standins.users_documents import HOST, config, route
from tests.builders import ManualClock
from tests.platform_cluster import ADAPTER_FOLDER  # noqa: F401 - puts platform/ on the path

KEYS = {"large": ["key-large"], "small": ["key-small"]}


def document(version=2, **tenant_fields):
    """Return a configuration whose first workspace has the given fields."""
    value = config(version, [route("urgent", service="app", priority=0)], 4, KEYS)
    value["tenants"][0] |= tenant_fields
    return value


def load(*documents):
    """Return the directory after the given configuration documents were applied."""
    import directory_feed
    from key_redaction import redact_keys

    directory = Directory()
    feed = directory_feed.DirectoryFeed(directory, None, ManualClock())
    for number, value in enumerate(documents, 1):
        redacted = redact_keys("op", "config", copy.deepcopy(value))
        feed.apply_operator_rows([Row("op", "config", number, redacted)])
    return directory


def test_priorities_of_routes_and_workspaces_are_decoded():
    routes = load(document(priority=2)).routes
    assert routes.find(HOST, "/urgent/1").priority == 0
    assert routes.find(HOST, "/app/1").priority == 1
    by_name = routes.workspaces.by_name
    assert (by_name["large"].priority, by_name["small"].priority) == (2, None)


def test_a_route_without_a_priority_has_the_highest():
    value = document()
    for each in value["routes"]:
        del each["priority"]
    assert load(value).routes.find(HOST, "/app/1").priority == 0


@pytest.mark.parametrize("priority", ["1", 1.0, True, -1, None])
def test_an_invalid_priority_makes_the_document_malformed(priority):
    """A misread priority would let the wrong callers go first.

    The last readable configuration stays in use, as for other invalid fields.
    """
    first = document(2, priority=0)
    directory = load(first, document(3, priority=priority))
    assert directory.config_unreadable and directory.routes.version == 2
    other = document(3)
    other["routes"][0]["priority"] = priority
    directory = load(first, other)
    assert directory.config_unreadable and directory.routes.version == 2
