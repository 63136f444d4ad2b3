"""Commands that manage keys of workspaces, and requests with and without such keys."""

import asyncio
import json

import pytest
from typer.testing import CliRunner

from gypsumshift import declarations
from gypsumshift.cli import app
from gypsumshift.client import AsyncClient
from gypsumshift.httpclient import Fetcher
from gypsumshift.outcomes import Invalid
from gypsumshift.workspaces import key_digest
from tests.system import DECLARATIONS, HOST, System

RUNNER = CliRunner()


@pytest.fixture
def folder(tmp_path):
    (tmp_path / "deployment.jsonc").write_text(json.dumps(DECLARATIONS))
    return tmp_path


def call(*words):
    result = RUNNER.invoke(app, ["keys", *map(str, words)])
    return result.exit_code, result.stdout, result.stderr


def test_add_prints_the_key_and_stores_only_its_digest(folder):
    code, out, _ = call("add", folder, "w", "first")
    assert code == 0
    key = out.strip()
    text = (folder / "keys.json").read_text()
    assert key not in text and key_digest(key) in text
    catalog = declarations.load(folder)
    assert catalog.keys.find_by_digest(key_digest(key)).name == "w"
    assert catalog.keys.find_by_digest(key_digest(key + "x")) is None
    code, out, _ = call("list", folder)
    assert (code, out.split()) == (0, ["first", "w", key_digest(key)])
    code, out, _ = call("list", folder, "--json")
    assert [one["name"] for one in json.loads(out)] == ["first"]


def test_a_removed_key_is_no_longer_declared(folder):
    for name in ("first", "second"):
        assert call("add", folder, "w", name)[0] == 0
    assert call("remove", folder, "first")[0] == 0
    assert [key["name"] for key in declarations.load(folder).source["keys"]] == [
        "second"
    ]


@pytest.mark.parametrize(
    ("words", "what"),
    [
        (("add", "none", "name"), "no such workspace: 'none'"),
        (("add", "w", "No Name"), "No Name"),
        (("remove", "none"), "no key 'none'"),
    ],
)
def test_invalid_arguments_print_one_line_and_leave_the_key_file(folder, words, what):
    assert call("add", folder, "w", "kept")[0] == 0
    before = (folder / "keys.json").read_text()
    command, *rest = words
    code, _, err = call(command, folder, *rest)
    assert code == 2
    assert what in err and len(err.splitlines()) == 1
    assert (folder / "keys.json").read_text() == before


def test_an_invalid_first_key_leaves_no_key_file(folder):
    assert call("add", folder, "none", "name")[0] == 2
    assert not (folder / "keys.json").exists()
    code, _, err = call("list", folder / "nowhere")
    assert code == 2 and "there is no folder" in err


def test_two_keys_with_one_digest_are_invalid():
    key = {"workspace": "w", "digest": "0" * 32}
    value = DECLARATIONS | {"keys": [key | {"name": "a"}, key | {"name": "b"}]}
    outcome = declarations.parse(value, "declarations")
    assert isinstance(outcome, Invalid)
    assert "the digest is already that of the key 'a'" in str(outcome.problems[0])


def test_a_workspace_with_keys_rejects_requests_without_one_of_them():
    keys = [
        {"name": name, "workspace": workspace, "digest": key_digest(f"key-{name}")}
        for name, workspace in (("one", "w"), ("two", "v"))
    ]

    async def run():
        async with System(DECLARATIONS | {"keys": keys}) as system:
            statuses = {}
            for token in ("", "Bearer wrong", "Bearer key-two", "Bearer key-one"):
                fields = [("authorization", token)] if token else []
                answer = await Fetcher().fetch(
                    system.entries[0].caller_address,
                    "GET",
                    "/w/services/shop/x",
                    fields,
                )
                statuses[token] = answer.status
            statuses["trainer"] = (
                await Fetcher().fetch(
                    system.entries[0].caller_address, "GET", "/w/trainers/tr/steps/0"
                )
            ).status
            port = system.entries[0].caller_address[1]
            url = f"http://{HOST}:{port}/w"
            async with AsyncClient(url, workspace_key="key-one") as client:
                outcome = await client.call("GET", "/services/shop/x")
                statuses["client"] = outcome.status
            return statuses

    statuses = asyncio.run(run())
    assert [statuses[t] for t in ("", "Bearer wrong", "Bearer key-two")] == [401] * 3
    assert statuses["Bearer key-one"] == 200
    assert statuses["trainer"] == 401
    assert statuses["client"] == 200
