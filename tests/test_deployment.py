import asyncio
import pathlib

from standins import story

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def test_all_statements_about_a_running_deployment_hold(capsys):
    asyncio.run(story.tell(EXAMPLES / "teranga-signes"))
    assert "none delivered twice" in capsys.readouterr().out
