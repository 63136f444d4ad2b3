"""Commands of the command line against a running entry: exit statuses and output."""

import asyncio
import json
import pathlib
import threading

import pytest
from typer.testing import CliRunner

from gypsumshift.cli import app

from .system import HOST, System
from .test_documents import EXAMPLES, MALFORMED

RUNNER = CliRunner()


class BackgroundSystem:
    """A system on an event loop in another thread, since commands block theirs."""

    def __enter__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.system = System(engines=1, services=1)
        self.run(self.system.__aenter__())
        port = self.system.entries[0].operator_address[1]
        self.url = f"http://{HOST}:{port}"
        return self

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def __exit__(self, *exc_info):
        self.run(self.system.__aexit__())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def call(self, *words):
        """Run a command; return its exit status and its output."""
        result = RUNNER.invoke(app, ["--operator", self.url, *map(str, words)])
        return result.exit_code, result.output


@pytest.fixture(scope="module")
def background():
    with BackgroundSystem() as running:
        yield running


@pytest.mark.parametrize("command", ["check", "plan", "apply"])
@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_declarations_exit_2_without_a_traceback(tmp_path, case, command):
    path = tmp_path / "bad.jsonc"
    path.write_text(MALFORMED[case][0])
    words = ["--operator", "http://127.0.0.1:1", command, str(path)]
    result = RUNNER.invoke(app, words)
    assert result.exit_code == 2
    assert isinstance(result.exception, SystemExit)
    assert "Traceback" not in result.output and str(path) in result.output


def test_check_accepts_the_examples():
    for folder in EXAMPLES.iterdir():
        assert RUNNER.invoke(app, ["check", str(folder)]).exit_code == 0


def test_changes_are_planned_applied_and_shown_in_history_and_status(
    background, tmp_path
):
    call = background.call
    code, output = call("get", "newest", "--json")
    declared = json.loads(output)["declarations"]
    declared["workspaces"][0]["parameters"] = {"timeout": 2.5}
    path = tmp_path / "d.json"
    path.write_text(json.dumps(declared))
    code, output = call("plan", path)
    assert code == 0 and "~ workspace w: parameters" in output
    code, output = call("apply", path, "-m", "less", "--wait", "--json")
    assert code == 0 and json.loads(output) == {"number": 2, "lagging": []}
    assert call("apply", path)[1].startswith("nothing changes")
    code, output = call("apply", path, "--base", "1")
    assert code == 3 and "the other change: ~ workspace w" in output
    code, output = call("history", "--json")
    assert [row["number"] for row in json.loads(output)] == [1, 2]
    code, output = call("status", "--json")
    rows = {row["name"]: row for row in json.loads(output)}
    assert rows["sidecar-shop-0"]["revision"] == 2
    assert "sidecar-shop-0" in call("status", "--figures")[1]


def test_weights_are_published_and_a_drain_is_in_the_timeline(background, tmp_path):
    call = background.call
    weights = tmp_path / "w"
    weights.write_bytes(b"w")
    assert call("weights", "publish", "model", "3", weights)[0] == 0
    code, output = call("weights", "show", "--json")
    assert json.loads(output)["model"]["version"] == 3
    assert call("weights", "publish", "nothing", "3", weights)[0] == 1
    code, output = call("drain", "shop-0")
    assert code == 0 and "sidecar-shop-0" in output
    assert call("drain", "nobody")[0] == 1
    assert call("drain", "shop-0", "--undo")[0] == 0
    page = tmp_path / "t.html"
    assert call("timeline", "shop-0", "--html", page)[0] == 0
    text = page.read_text()
    assert "leaving" in text and "http" not in text
    assert "leaving" in call("timeline", "shop-0")[1]


def test_an_entry_that_cannot_be_reached_exits_1():
    result = RUNNER.invoke(app, ["--operator", "http://127.0.0.1:1", "status"])
    assert result.exit_code == 1 and "--operator" in result.output


def test_a_missing_file_exits_2():
    result = RUNNER.invoke(app, ["check", str(pathlib.Path("/nowhere/at-all"))])
    assert result.exit_code == 2 and "name another file" in result.output
