"""Mechanisms that may be switched off."""

import pytest

from gypsumshift.policy import Policy, PolicyError, parse_disabled


def test_all_mechanisms_work_unless_some_are_named():
    assert parse_disabled("") == Policy()
    policy = parse_disabled(" ejection, saved_runs ")
    assert not policy.ejection and not policy.saved_runs
    assert policy.hedged_writes


def test_an_unknown_mechanism_is_told_in_one_line():
    with pytest.raises(PolicyError) as told:
        parse_disabled("ejections")
    assert "ejections" in str(told.value) and "ejection," in str(told.value)
    assert "\n" not in str(told.value)
