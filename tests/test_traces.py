"""Tests of finding log lines by id, and of the limit on the rate of log lines."""

import json

from typer.testing import CliRunner

from gypsumshift import cli, logs, traces


def write(folder, name, *lines):
    text = "".join(
        (line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines
    )
    (folder / name).write_text(text)


def test_lines_of_all_processes_are_sorted_by_time(tmp_path):
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


def test_trace_command_prints_lines_and_fails_if_there_are_none(tmp_path):
    write(tmp_path, "a.log", {"time": "1", "message": "first", "request": "r1"})
    run = CliRunner().invoke(cli.app, ["trace", "r1", "--logs", str(tmp_path)])
    assert run.exit_code == 0 and "first" in run.output
    run = CliRunner().invoke(cli.app, ["trace", "r9", "--logs", str(tmp_path)])
    assert run.exit_code == 1
    run = CliRunner().invoke(cli.app, ["trace", "r1", "--logs", str(tmp_path / "x")])
    assert run.exit_code == 2


def test_lines_beyond_the_rate_limit_are_dropped_and_counted(tmp_path):
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


def test_held_back_request_leads_to_crashes_under_its_other_ids(tmp_path):
    """Guards against a trace that does not show why a request was held back.

    The lines of the request itself named no server, since the servers had crashed while
    running it under other ids.
    """
    failed_attempt = {
        "part": "sender",
        "message": "An attempt failed.",
        "fingerprint": "f1",
    }
    write(
        tmp_path,
        "a.log",
        failed_attempt | {"time": "1", "request": "r1", "server": "s1", "ended": True},
        failed_attempt | {"time": "2", "request": "r1", "server": "s2", "ended": False},
        failed_attempt
        | {"time": "3", "request": "r2", "server": "s3", "ended": True}
        | {"fingerprint": "f2"},
    )
    held_back = {"message": "A request is held back.", "fingerprint": "f1"}
    write(
        tmp_path,
        "b.log",
        held_back | {"time": "6", "request": "r8"},
        held_back | {"time": "7", "request": "r9"},
        held_back | {"time": "5", "request": "r7", "trial": 1},
    )
    found = traces.find_lines(tmp_path, "r9")
    assert [line["time"] for line in found] == ["1", "5", "7"]
    assert found[0]["server"] == "s1"
