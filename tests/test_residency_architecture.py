"""Each send of a body asks for its residency, or cannot carry one of a request."""

from tests.sends import find_in_source, find_sends, opening_modules

# Sends that need not ask, by module and function, with the reason.
EXEMPT = {
    ("gypsumshift/gossip.py", "exchange"): "digests hold no bodies of requests",
    ("gypsumshift/crashgossip.py", "send_to"): "crashes hold fingerprints only",
    ("gypsumshift/serving/cold/permits.py", "ask_neighbour"): "names a server start",
    ("gypsumshift/jobs/engine.py", "send_order"): "weight loads belong to no request",
    ("platform/cloud_api.py", "send_report"): "usage reports hold counts",
    ("gypsumshift/relay.py", "serve"): "a relay calls the store itself",
    ("gypsumshift/storepath.py", "fetch_direct"): "calls the store itself",
    ("gypsumshift/storepath.py", "fetch_via"): "its callers ask for the residency",
    # Processes of the deployment with sidecars, whose configuration has no regions.
    ("gypsumshift/backend.py", "load_weights"): "weights for the own backend",
    ("gypsumshift/backendrequest.py", "send_to_backend"): "to the own backend",
    ("gypsumshift/client.py", "call_once"): "the caller's own client",
    ("gypsumshift/remote.py", "write"): "calls of the platform's services",
}
# Modules that open connections: the HTTP client, and the connections between an entry
# and the sidecars.
CONNECTING = {
    "gypsumshift/flowcontrol.py",
    "gypsumshift/httpclient.py",
    "gypsumshift/peerconnection.py",
}


def test_each_send_of_a_body_asks_for_its_residency():
    """A new path to a server or host must not bypass the home regions."""
    silent = {(s.module, s.function) for s in find_sends() if not s.asks}
    assert silent - EXEMPT.keys() == set()


def test_the_list_of_exempt_sends_is_current():
    """An outdated entry would exempt another function of that name later."""
    assert EXEMPT.keys() - {(s.module, s.function) for s in find_sends()} == set()


def test_the_known_paths_of_bodies_are_found():
    """The search must not miss the sends whose residency matters."""
    asking = {(s.module, s.function) for s in find_sends() if s.asks}
    assert asking >= {
        ("gypsumshift/serving/sender.py", "open"),
        ("gypsumshift/jobs/engine.py", "open_stream"),
        ("gypsumshift/storepath.py", "fetch"),
        ("platform/row_store.py", "send_call"),
    }


def test_connections_are_opened_by_the_known_modules_only():
    assert opening_modules() == CONNECTING


def test_the_search_finds_a_send_that_does_not_ask():
    source = """
async def send(self, call):
    return await self.sender.fetcher.open(address, "POST", "/", [], call.body)

async def ask(self, call):
    return await self.fetcher.fetch(
        address, "POST", "/", body=call.body, allowed=lambda: self.residency.allows("r")
    )

async def probe(self):
    return await self.fetcher.fetch(address, "GET", "/", timeout=1.0)
"""
    found = [(send.function, send.asks) for send in find_in_source(source, "m")]
    assert found == [("send", False), ("ask", True)]
