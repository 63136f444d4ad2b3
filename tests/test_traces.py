"""From an id to the lines of all processes that name it."""

import json

from typer.testing import CliRunner

from gypsumshift import cli, logs, traces


def write(folder, name, *lines):
    text = "".join(
        (line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines
    )
    (folder / name).write_text(text)


def test_lines_of_all_processes_come_in_order_of_time(tmp_path):
    write(
        tmp_path,
        "b.log",
        {"time": "2", "message": "second", "request": "r1"},
        "no JSON with r1",
        {"time": "3", "message": "other", "request": "r2"},
    )
    write(tmp_path, "a.log", 'x {"time": "1", "message": "first", "request": "r1"}')
    found = traces.find_lines(tmp_path, "r1")
    assert [line["message"] for line in found] == ["first", "second"]


def test_the_command_prints_them_or_says_that_there_are_none(tmp_path):
    write(tmp_path, "a.log", {"time": "1", "message": "first", "request": "r1"})
    run = CliRunner().invoke(cli.app, ["trace", "r1", "--logs", str(tmp_path)])
    assert run.exit_code == 0 and "first" in run.output
    run = CliRunner().invoke(cli.app, ["trace", "r9", "--logs", str(tmp_path)])
    assert run.exit_code == 1
    run = CliRunner().invoke(cli.app, ["trace", "r1", "--logs", str(tmp_path / "x")])
    assert run.exit_code == 2


def test_a_flood_of_lines_is_dropped_and_counted(tmp_path):
    now = 0.0
    with (tmp_path / "log").open("w") as file:
        stream = logs.RateLimitedStream(file.fileno(), lambda: now)
        for number in range(int(logs.BURST_LINES) + 50):
            stream.write(f"line {number}\n")
        now = 1.0
        stream.write("later\n")
    text = (tmp_path / "log").read_text().splitlines()
    assert len(text) == logs.BURST_LINES + 2
    assert text[-2:] == ["50 lines dropped", "later"]


def test_a_request_that_is_held_back_leads_to_the_ends_under_its_other_ids(tmp_path):
    """On call, its own lines named no server: those had ended under other ids."""
    usual = {"part": "sender", "message": "An attempt failed.", "fingerprint": "f1"}
    write(
        tmp_path,
        "a.log",
        usual | {"time": "1", "request": "r1", "server": "s1", "ended": True},
        usual | {"time": "2", "request": "r1", "server": "s2", "ended": False},
        usual
        | {"time": "3", "request": "r2", "server": "s3", "ended": True}
        | {"fingerprint": "f2"},
    )
    held = {"message": "A request is held back.", "fingerprint": "f1"}
    write(
        tmp_path,
        "b.log",
        held | {"time": "6", "request": "r8"},
        held | {"time": "7", "request": "r9"},
        held | {"time": "5", "request": "r7", "trial": 1},
    )
    found = traces.find_lines(tmp_path, "r9")
    assert [line["time"] for line in found] == ["1", "5", "7"]
    assert found[0]["server"] == "s1"
