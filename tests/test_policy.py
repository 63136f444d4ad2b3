"""Tests of the policy that switches mechanisms off."""

import pytest

from gypsumshift.policy import Policy, PolicyError, parse_disabled


def test_all_mechanisms_are_on_except_the_named_ones():
    assert parse_disabled("") == Policy()
    policy = parse_disabled(" ejection, saved_runs ")
    assert not policy.ejection and not policy.saved_runs
    assert policy.hedged_writes


def test_unknown_mechanism_is_reported_in_one_line_with_the_known_names():
    with pytest.raises(PolicyError) as raised:
        parse_disabled("ejections")
    assert "ejections" in str(raised.value) and "ejection," in str(raised.value)
    assert "\n" not in str(raised.value)
