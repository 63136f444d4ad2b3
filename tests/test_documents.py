"""Malformed declarations give one clear line; valid ones resolve their references."""

import pathlib

import pytest

from gypsumshift import declarations, settings
from gypsumshift.outcomes import Invalid

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

POOL = '{"name": "p", "kind": "service"}'
MALFORMED = {
    "unclosed comment": ('{"zones": []} /* the end', ":1:", "comment"),
    "unknown key": ('{"zoness": []}', "zoness", "use one of"),
    "wrong type": ('{"zones": "a"}', "zones", "array"),
    "unknown zone": (
        '{"zones": ["a"], "pools": [{"name": "p", "kind": "model", "zones": ["b"]}]}',
        "pools[0].zones",
        "'b'",
    ),
    "two of one name": (
        '{"templates": [{"name": "t"}], "workspaces":'
        ' [{"name": "w", "template": "t"}, {"name": "w", "template": "t"}]}',
        "workspaces[1].name",
        "taken",
    ),
    "bound below zero": (
        f'{{"pools": [{POOL}], "trainers": [{{"name": "t", "workspace": "w",'
        ' "pool": "p", "staleness_bound": -1}]}',
        "staleness_bound",
        "-1",
    ),
    "unknown template": (
        '{"workspaces": [{"name": "w", "template": "none"}]}',
        "workspaces[0].template",
        "'none'",
    ),
    "cyclic reference": (
        '{"templates": [{"name": "a", "extends": "b"}, {"name": "b", "extends": "a"}]}',
        "templates[0].extends",
        "cycle",
    ),
    "number out of range": (
        '{"templates": [{"name": "t", "parameters": {"timeout": 1e9}}]}',
        "templates[0].parameters.timeout",
        "1000000000",
    ),
    "empty file": ("", "empty", "write"),
    "duplicate key": ('{"zones": [], "zones": []}', "zones", "keep one"),
    "missing pool": (
        '{"templates": [{"name": "t", "parameters": {"model_pool": "none"}}]}',
        "model_pool",
        "no such pool",
    ),
}


@pytest.mark.parametrize("case", MALFORMED)
def test_a_malformed_file_gets_one_clear_line(tmp_path, case):
    text, where, what = MALFORMED[case]
    path = tmp_path / "bad.jsonc"
    path.write_text(text)
    outcome = declarations.load(path)
    assert isinstance(outcome, Invalid)
    line = str(outcome.problems[0])
    assert line.startswith(str(path)) and "\n" not in line
    assert where in line and what in line


@pytest.mark.parametrize("name", ["teranga-signes", "desarmaderos"])
def test_the_example_declarations_are_valid(name):
    catalog = declarations.load(EXAMPLES / name)
    assert not isinstance(catalog, Invalid)
    assert len(catalog.zones) == 4


def test_workspace_parameters_are_merged_from_the_template_chain():
    catalog = declarations.load(EXAMPLES / "teranga-signes")
    assert catalog.workspaces["courts"].share == 20
    assert catalog.workspaces["courts"].timeout == 20.0
    assert catalog.workspaces["courts"].model_pool == "scheduling-model"


def test_sidecar_settings_without_backend_url_or_known_adapter_are_invalid(tmp_path):
    path = tmp_path / "s.jsonc"
    path.write_text(
        '{"name": "s", "role": "sidecar", "zone": "a", "platform": "nope:x"}'
    )
    outcome = settings.load(path)
    lines = [str(problem) for problem in outcome.problems]
    assert any("backend_url" in line for line in lines)
    assert any("no adapter for the scheme 'nope'" in line for line in lines)
