"""What a day lost is told by part and price, and adds up."""

import json

import pytest
import typer
from typer.testing import CliRunner

from bench import worth


def entry(**day):
    usual = {
        "name": "quiet-1 --seed 4",
        "G": 0.9,
        "top": 0.98,
        "rules": {},
        "parts": [["whole day", 0.6, 0.95], ["worst class", 0.4, 1.0]],
        "prices": [["hosts", 12.0, 0.06], ["probes", 3.0, 0.001], ["loads", 0.0, 0.0]],
    }
    return {"site": "a-site", "days": [usual | day]}


def test_what_is_lost_adds_up_to_the_worth():
    (day,) = worth.days_in(json.dumps(entry()))
    assert (day.site, day.name, day.broken) == ("a-site", "quiet-1", 0)
    assert sum(day.lost.values()) == pytest.approx(0.091)
    told = worth.table([day]).splitlines()
    assert told[0] == (
        "| day | worth | full mark | rules broken | hosts | whole day | rest |"
    )
    assert told[2] == "| quiet-1 | 0.900 | 0.980 | 0 | 0.060 | 0.030 | 0.001 |"
    assert told[3].startswith("| mean | 0.900 |")


def test_broken_rules_are_counted_and_a_day_without_marks_is_told():
    (day,) = worth.days_in(json.dumps(entry(rules={"A": 2, "B": 3}, top=None)))
    assert day.broken == 5
    assert "| 0.900 |  | 5 |" in worth.table([day])


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"site": "s", "days": [{}]}'])
def test_another_file_is_one_line_and_exit_2(tmp_path, text):
    file = tmp_path / "entry.json"
    file.write_text(text)
    app = typer.Typer()
    app.command()(worth.main)
    result = CliRunner().invoke(app, [str(file)])
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1 and str(file) in result.stderr
