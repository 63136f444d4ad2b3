"""Tests of the breakdown of a day's lost worth by part of the credit and price."""

import json

import pytest
import typer
from typer.testing import CliRunner

from bench import worth


def journal_entry(**day):
    default_day = {
        "name": "quiet-1 --seed 4",
        "G": 0.9,
        "top": 0.98,
        "rules": {},
        "parts": [["whole day", 0.6, 0.95], ["worst class", 0.4, 1.0]],
        "prices": [["hosts", 12.0, 0.06], ["probes", 3.0, 0.001], ["loads", 0.0, 0.0]],
    }
    return {"site": "a-site", "days": [default_day | day]}


def test_losses_add_up_to_the_difference_from_full_worth():
    (day,) = worth.parse_days(json.dumps(journal_entry()))
    assert (day.site, day.name, day.broken_rules) == ("a-site", "quiet-1", 0)
    assert sum(day.losses.values()) == pytest.approx(0.091)
    lines = worth.format_table([day]).splitlines()
    assert lines[0] == (
        "| day | worth | full mark | rules broken | hosts | whole day | rest |"
    )
    assert lines[2] == "| quiet-1 | 0.900 | 0.980 | 0 | 0.060 | 0.030 | 0.001 |"
    assert lines[3].startswith("| mean | 0.900 |")


def test_broken_rules_are_counted_and_a_missing_full_mark_is_left_blank():
    (day,) = worth.parse_days(
        json.dumps(journal_entry(rules={"A": 2, "B": 3}, top=None))
    )
    assert day.broken_rules == 5
    assert "| 0.900 |  | 5 |" in worth.format_table([day])


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"site": "s", "days": [{}]}'])
def test_malformed_file_prints_one_error_line_and_exits_with_2(tmp_path, text):
    file = tmp_path / "entry.json"
    file.write_text(text)
    app = typer.Typer()
    app.command()(worth.main)
    result = CliRunner().invoke(app, [str(file)])
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1 and str(file) in result.stderr
