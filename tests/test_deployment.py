import asyncio
import pathlib

from standins import story

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def test_the_main_job_runs_from_end_to_end(capsys):
    asyncio.run(story.tell(EXAMPLES / "teranga-signes"))
    assert "none delivered twice" in capsys.readouterr().out
