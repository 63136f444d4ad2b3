"""One name for a request, under whatever id it comes."""

from gypsumshift.serving import Call
from gypsumshift.serving.fingerprints import fingerprint
from tests.job_builders import HOST, routes

USUAL = {
    "method": "POST",
    "host": HOST,
    "target": "/score/1?x=2",
    "caller": "key",
    "body": b"text",
}


def test_each_of_its_parts_tells_requests_apart():
    others = {
        "method": "PUT",
        "host": "other.example",
        "target": "/score/1?x=3",
        "caller": "another",
        "body": b"texts",
    }
    found = {fingerprint(**USUAL | {name: part}) for name, part in others.items()}
    assert len(found | {fingerprint(**USUAL)}) == len(others) + 1


def test_parts_do_not_run_into_each_other():
    one = fingerprint("POST", HOST, "/a", "bc", b"d")
    assert one != fingerprint("POST", HOST, "/ab", "c", b"d")
    assert one != fingerprint("POST", HOST, "/a", "b", b"cd")


def test_hosts_are_told_apart_as_routes_do():
    assert fingerprint(**USUAL) == fingerprint(**USUAL | {"host": HOST.upper()})


def test_any_text_and_any_bytes_have_one():
    assert len(fingerprint("POST", "", "/\ud800\xff", "", bytes(range(256)))) == 32


def test_a_call_under_a_new_id_has_the_same_one():
    route = routes().find(HOST, "/score/")
    calls = [
        Call(name, "POST", "/score/1", HOST, headers, b"x", route, deadline)
        for name, headers, deadline in (("r1", [], 1.0), ("r2", [("a", "b")], 9.0))
    ]
    assert len({call.fingerprint for call in calls}) == 1
