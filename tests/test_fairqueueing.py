"""Start-time fair queueing divides service by weight and remembers no idle time."""

from gypsumshift.fairqueueing import MIN_TAGS, FairTags


def serve(tags, weights, count):
    """Serve some names that all wait; return how often each was served."""
    served = dict.fromkeys(weights, 0)
    for _ in range(count):
        name = tags.least_served(weights)
        tags.charge(name, weights[name], len(weights))
        served[name] += 1
    return served


def test_service_is_divided_by_weight():
    assert serve(FairTags(), {"a": 3, "b": 1}, 40) == {"a": 30, "b": 10}


def test_a_name_that_was_idle_gets_no_arrears():
    """Saved-up service would let a burst displace everyone else's calls."""
    tags = FairTags()
    serve(tags, {"a": 1}, 100)
    assert serve(tags, {"a": 1, "b": 1}, 10) == {"a": 5, "b": 5}


def test_the_number_of_tags_is_bounded():
    """Names come from callers' keys, of which there may be many over time."""
    tags = FairTags()
    for number in range(10 * MIN_TAGS):
        tags.charge(f"w{number}", 1.0, 1)
        tags.virtual_time += 1.0
    assert len(tags.finish_tags) <= MIN_TAGS + 5
