"""Declarations and running deployments for the experiments."""

import contextlib
import copy

from gypsumshift import declarations
from gypsumshift.declarations import Catalog
from standins.deployment import Deployment

__all__ = ["Testbed", "run_testbed", "service_source", "trainer_source"]

ZONES = ["leon-a", "leon-b", "qro-a", "qro-b"]


def service_source(slots: int = 4, **pool) -> dict:
    """Return declarations of one plain service on five backend servers."""
    return {
        "zones": ZONES,
        "pools": [
            {
                "name": "parts",
                "kind": "service",
                "size": 5,
                "zones": ZONES,
                "concurrency": slots,
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
    """Return declarations of one model on five engines, and one trainer."""
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


class Testbed:
    """A running deployment whose declarations are changed between load segments.

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
        """Apply changed fields of the pool and the trainer; wait until in force."""
        source = copy.deepcopy(self.source)
        source["pools"][0] |= pool or {}
        if trainer:
            source["trainers"][0] |= trainer
        catalog = declarations.parse(source, "bench")
        answer = await self.deployment.apply(catalog, "bench", self.revision)
        if answer.status != 200:
            raise RuntimeError(f"declarations were not accepted: {answer.body!r}")
        self.revision += 1
        await self.deployment.until_in_force(self.revision)

    def backend_names(self) -> list[str]:
        """Return the names of the backend servers."""
        return [n for n, r in self.deployment.running.items() if "backend" in r.ports]


@contextlib.asynccontextmanager
async def run_testbed(source: dict, entries: int = 2, **standin_options):
    """Run a deployment of the given declarations as a context manager."""
    catalog: Catalog = declarations.parse(source, "bench")
    if not isinstance(catalog, Catalog):
        raise RuntimeError(f"declarations are invalid: {catalog}")
    async with Deployment(catalog, entries, speed=standin_options) as deployment:
        testbed = Testbed(deployment, source)
        await testbed.declare()
        yield testbed
