"""Route look-up by host and path, and selection of a target by weight."""

from gypsumshift.serving import RequestKind, Route, RouteTable, Target


def route(prefix, *targets, host="h.example"):
    found = tuple(targets) or (Target("s"),)
    return Route(prefix, host, prefix, RequestKind.SAFE, found)


def test_the_longest_prefix_wins():
    table = RouteTable(1, [route("/"), route("/a/"), route("/a/b/")])
    assert table.find("h.example", "/a/b/c").prefix == "/a/b/"
    assert table.find("H.example:80", "/a/x").prefix == "/a/"
    assert table.find("h.example", "/other").prefix == "/"


def test_a_prefix_matches_whole_path_segments_only():
    table = RouteTable(1, [route("/a/")])
    assert table.find("h.example", "/ab") is None
    assert table.find("h.example", "/a") is None
    assert table.find("other.example", "/a/") is None


def test_targets_are_chosen_by_weight_and_fixed_for_a_request_id():
    own = route("/", Target("few", 10), Target("many", 90))
    chosen = [own.service_for(f"request-{n}") for n in range(2000)]
    assert 120 < chosen.count("few") < 280
    assert own.service_for("request-1") == own.service_for("request-1")
