"""Known failures are expected and printed; a listed test that passes fails the run."""

import pytest

from tests import known_red

pytest_plugins = ["pytester"]

LIST = """
# test | cause | issue
test_sample.py::test_broken | a result is lost | 7
test_sample.py::test_fixed | a claim is lost | 8
"""
SAMPLE = """
def test_broken():
    assert False

def test_fixed():
    pass

def test_sound():
    pass
"""
HOOKS = """
from tests import known_red

def pytest_collection_modifyitems(items):
    known_red.mark_expected_failures(items, known_red.parse({text!r}))
"""


def test_a_listed_test_may_fail_but_not_pass(pytester):
    pytester.makepyfile(test_sample=SAMPLE)
    pytester.makeconftest(HOOKS.format(text=LIST))
    outcome = pytester.runpytest("-p", "no:cacheprovider")
    outcome.assert_outcomes(passed=1, xfailed=1, failed=1)
    outcome.stdout.fnmatch_lines(["*FAILED test_sample.py::test_fixed*"])


def test_a_test_listed_as_intermittent_may_fail_or_pass(pytester):
    text = LIST.replace("| a ", "| intermittent: a ")
    pytester.makepyfile(test_sample=SAMPLE)
    pytester.makeconftest(HOOKS.format(text=text))
    outcome = pytester.runpytest("-p", "no:cacheprovider")
    outcome.assert_outcomes(passed=1, xfailed=1, xpassed=1)


def test_the_report_has_the_cause_and_issue_of_each_entry():
    lines = known_red.report_lines(known_red.parse(LIST))
    assert lines[0] == "test_sample.py::test_broken: a result is lost (issue 7)"


@pytest.mark.parametrize("line", ["test_a", "test_a | cause", "test_a | | 3"])
def test_a_line_without_cause_or_issue_raises_an_error(line):
    with pytest.raises(ValueError, match=r"line is not 'test \| cause \| issue'"):
        known_red.parse(line)
