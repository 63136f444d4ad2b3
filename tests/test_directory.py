"""Lookups in the directory follow its changes, and cost nothing between them."""

import random

from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.routes import EngineLimits, RouteTable, Service


def listed(number: int, service: str = "app", **fields) -> BackendServer:
    """Return a backend server."""
    address = (f"10.0.0.{number}", 80)
    return BackendServer(f"s{number:02d}", service, address, "here", **fields)


def test_lookups_follow_each_change():
    # Guards against a shared list that outlives the servers it was made from.
    rng, directory = random.Random(1), Directory()
    engine = Service("pool", EngineLimits(4, 100, ("m",)))
    directory.set_routes(RouteTable(1, (), [engine]))
    for _ in range(2000):
        number, service = rng.randrange(12), rng.choice(("app", "pool"))
        if rng.random() < 0.3:
            directory.forget_server(f"s{number:02d}")
        else:
            born, ready = rng.randrange(3), rng.random() < 0.7
            directory.set_server(listed(number, service, ready=ready, born=born))
        now_ready = [s for s in directory.servers.values() if s.ready]
        for name in ("app", "pool"):
            expected = sorted(
                (s for s in now_ready if s.service == name), key=lambda s: s.id
            )
            assert directory.ready_servers(name) == expected
        engines = [s for s in now_ready if s.service == "pool"]
        assert directory.ready_engines() == engines


def test_a_renewed_entry_changes_nothing():
    # Guards against lookups that are repeated for each renewal of an entry, of which
    # each server writes one every 0.6 s.
    directory = Directory()
    for number in range(3):
        directory.set_server(listed(number, models={"m": 1}))
    revision, found = directory.revision, directory.ready_servers("app")
    for number in range(3):
        directory.set_server(listed(number, models={"m": 1}))
    assert directory.revision == revision
    assert directory.ready_servers("app") is found
    directory.set_server(listed(1, models={"m": 2}))
    assert directory.revision > revision
    assert directory.ready_servers("app")[1].models == {"m": 2}


def test_callbacks_of_a_restart_see_the_new_start():
    # Guards against callbacks that act on the list of servers before the restart.
    directory, seen = Directory(), []
    directory.set_server(listed(1, born=1))
    assert directory.ready_servers("app")[0].born == 1
    directory.on_restart.append(
        lambda old: seen.append(directory.ready_servers("app")[0].born)
    )
    directory.set_server(listed(1, born=2))
    assert seen == [2]
