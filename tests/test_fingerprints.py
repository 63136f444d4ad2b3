"""Fingerprints of requests: equal for repetitions, different for different requests."""

from gypsumshift.serving import Call
from gypsumshift.serving.fingerprints import fingerprint
from tests.job_builders import HOST, routes

REQUEST = {
    "method": "POST",
    "host": HOST,
    "target": "/score/1?x=2",
    "caller": "key",
    "body": b"text",
}


def test_requests_that_differ_in_any_part_have_different_fingerprints():
    others = {
        "method": "PUT",
        "host": "other.example",
        "target": "/score/1?x=3",
        "caller": "another",
        "body": b"texts",
    }
    found = {fingerprint(**REQUEST | {name: part}) for name, part in others.items()}
    assert len(found | {fingerprint(**REQUEST)}) == len(others) + 1


def test_moving_characters_between_parts_changes_the_fingerprint():
    one = fingerprint("POST", HOST, "/a", "bc", b"d")
    assert one != fingerprint("POST", HOST, "/ab", "c", b"d")
    assert one != fingerprint("POST", HOST, "/a", "b", b"cd")


def test_the_case_of_the_host_name_is_ignored_as_in_routes():
    assert fingerprint(**REQUEST) == fingerprint(**REQUEST | {"host": HOST.upper()})


def test_unpaired_surrogates_and_any_bytes_are_accepted():
    assert len(fingerprint("POST", "", "/\ud800\xff", "", bytes(range(256)))) == 32


def test_calls_that_differ_in_id_headers_and_deadline_have_the_same_fingerprint():
    route = routes().find(HOST, "/score/")
    calls = [
        Call(name, "POST", "/score/1", HOST, headers, b"x", route, deadline)
        for name, headers, deadline in (("r1", [], 1.0), ("r2", [("a", "b")], 9.0))
    ]
    assert len({call.fingerprint for call in calls}) == 1
