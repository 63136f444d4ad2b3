"""The token bucket that limits log lines."""

from gypsumshift.tokenbucket import TokenBucket


def test_a_burst_is_limited_and_tokens_come_back_at_the_rate():
    """Guards against a process whose log lines take its processor in a surge."""
    bucket = TokenBucket(rate=10.0, burst=3.0, now=5.0)
    assert [bucket.take(5.0) for _ in range(4)] == [True, True, True, False]
    assert not bucket.take(5.05)
    assert bucket.take(5.11)
    assert [bucket.take(60.0) for _ in range(4)] == [True, True, True, False]
