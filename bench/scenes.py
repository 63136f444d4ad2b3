"""Scenes: declared deployments that the experiments run on."""

import contextlib
import copy

from gypsumshift import declarations
from gypsumshift.declarations import Catalog
from standins.deployment import Deployment

__all__ = ["Scene", "scene", "service_source", "trainer_source"]

ZONES = ["leon-a", "leon-b", "qro-a", "qro-b"]


def service_source(places: int = 4, **pool) -> dict:
    """Return declarations with one plain service on five backend servers."""
    return {
        "zones": ZONES,
        "pools": [
            {
                "name": "parts",
                "kind": "service",
                "size": 5,
                "zones": ZONES,
                "concurrency": places,
                "queue": 64,
                **pool,
            }
        ],
        "templates": [
            {
                "name": "t",
                "parameters": {
                    "services": {"parts": "parts"},
                    "internal": ["GET /check"],
                    "timeout": 3.0,
                },
            }
        ],
        "workspaces": [{"name": "yards", "template": "t"}],
    }


def trainer_source(trainer: dict | None = None, **pool) -> dict:
    """Return declarations with one model on five engines, and one trainer."""
    return {
        "zones": ZONES,
        "pools": [
            {
                "name": "model",
                "kind": "model",
                "dialect": "sglang",
                "size": 5,
                "zones": ZONES,
                "concurrency": 16,
                "swap_allowance": 1.0,
                "serving_floor": 0.4,
                **pool,
            }
        ],
        "templates": [
            {"name": "t", "parameters": {"model_pool": "model", "timeout": 20.0}}
        ],
        "workspaces": [{"name": "yards", "template": "t"}],
        "trainers": [
            {
                "name": "tr",
                "workspace": "yards",
                "pool": "model",
                "groups_per_step": 8,
                "staleness_bound": 2,
                **(trainer or {}),
            }
        ],
    }


class Scene:
    """A running deployment whose declarations change between segments.

    Parameters
    ----------
    deployment : Deployment
    source : dict
    """

    def __init__(self, deployment: Deployment, source: dict):
        self.deployment = deployment
        self.source = source
        self.revision = 0

    async def declare(self, pool: dict | None = None, trainer: dict | None = None):
        """Change fields of the pool and the trainer; wait until in force."""
        source = copy.deepcopy(self.source)
        source["pools"][0] |= pool or {}
        if trainer:
            source["trainers"][0] |= trainer
        catalog = declarations.parse(source, "bench")
        answer = await self.deployment.apply(catalog, "bench", self.revision)
        if answer.status != 200:
            raise RuntimeError(answer.body)
        self.revision += 1
        await self.deployment.until_in_force(self.revision)

    def backends(self) -> list[str]:
        """Return the names of the backend servers."""
        return [n for n, r in self.deployment.running.items() if "backend" in r.ports]


@contextlib.asynccontextmanager
async def scene(source: dict, entries: int = 2, **speed):
    """Run a deployment of some declarations."""
    catalog: Catalog = declarations.parse(source, "bench")
    if not isinstance(catalog, Catalog):
        raise RuntimeError(catalog)
    async with Deployment(catalog, entries, speed=speed) as deployment:
        running = Scene(deployment, source)
        await running.declare()
        yield running
