"""End-to-end check of a deployment on loopback: ``python -m standins.story``.

Calls, training steps, a parameter change and workspace keys are tried in turn. Each
statement is printed once it has been checked; the exit status is 0 only if all hold.
"""

import asyncio
import copy
import json
import pathlib
import sys
import time
from typing import Annotated

import attrs
import typer

from gypsumshift import Answered, AsyncClient, AsyncTrainer, declarations
from gypsumshift.declarations import Catalog
from gypsumshift.workspaces import key_digest
from standins.deployment import HOST, Deployment
from standins.trainer import FakeTrainer

DEFAULT_FOLDER = pathlib.Path("examples/teranga-signes")
STEPS = 3
STANDIN_OPTIONS = {"step": 0.01, "swap": 0.1, "duration": 0.01, "host_lag": 1.0}
NEW_TIMEOUT_S = 7.5


class ClaimFailed(Exception):
    """A checked statement does not hold."""


def check_claim(holds: bool, statement: str) -> None:
    """Print a statement if it holds, raise `ClaimFailed` if not."""
    if not holds:
        raise ClaimFailed(statement)
    print(f"  ok  {statement}", flush=True)


@attrs.define
class StoryTargets:
    """Declared names and paths to which requests are sent.

    Attributes
    ----------
    workspace, trainer : str
    service : str
        A plain service of the workspace.
    route : str
        Path of a request to the service that must not be repeated.
    """

    workspace: str
    trainer: str
    service: str
    route: str


def choose_targets(catalog: Catalog) -> StoryTargets:
    """Return the first declared trainer, and a service and route of its workspace."""
    trainer = next(iter(catalog.trainers.values()))
    parameters = catalog.workspaces[trainer.workspace]
    pattern = parameters.unrepeatable[0].partition(" ")[2]
    service = next(iter(parameters.services))
    return StoryTargets(
        trainer.workspace, trainer.name, service, pattern.replace("*", "4711")
    )


async def count_runs(deployment: Deployment, pool: str, request_id: str) -> int:
    """Return how many times the backend servers of a pool ran a request."""
    run_count = 0
    for name, running in deployment.running.items():
        if name.startswith(pool) and "backend" in running.ports:
            address = (HOST, running.ports["backend"])
            answer = await deployment.fetcher.fetch(address, "GET", "/standin")
            run_count += json.loads(answer.body)["runs"].get(request_id, 0)
    return run_count


async def check_call(deployment: Deployment, targets: StoryTargets) -> None:
    """Check that a non-repeatable request sent twice with one key runs only once."""
    print("A request that must not be repeated:")
    path = f"/services/{targets.service}{targets.route}"
    options = {"key": "story-1", "headers": {"request-id": "story-1"}}
    async with AsyncClient(deployment.caller_urls(f"/{targets.workspace}")) as client:
        first = await client.call("POST", path, {"client": 1}, **options)
        check_claim(
            isinstance(first, Answered) and first.status == 200, "it was answered"
        )
        backend = first.header("gypsumshift-backend")
        print(f"      by {backend}, attempts {first.header('gypsumshift-attempts')}")
        client.entry_index += 1
        again = await client.call("POST", path, {"client": 1}, **options)
        same = isinstance(again, Answered) and again.body == first.body
        check_claim(same, "the other entry gave the same answer for the same key")
    pool = backend.rpartition("-")[0]
    check_claim(
        await count_runs(deployment, pool, "story-1") == 1, "it ran exactly once"
    )


async def check_trainer(deployment: Deployment, targets: StoryTargets) -> None:
    """Check training steps during weight changes: delivered once, labelled, fresh."""
    print("Training steps across weight changes:")
    path = f"/{targets.workspace}/trainers/{targets.trainer}"
    declared = deployment.catalog.trainers[targets.trainer]
    ids, mixed = [], 0
    async with AsyncTrainer(deployment.caller_urls(path)) as trainer:
        standin = FakeTrainer(trainer, targets.trainer, max_tokens=160)
        await standin.submit(declared.groups_per_step * (STEPS + 1))
        for number in range(1, STEPS + 1):
            pull = asyncio.create_task(trainer.step(number))
            await asyncio.sleep(0.25)
            # Weights are published during generation, so some samples span versions.
            await trainer.publish(number, b"w" * 1_000_000)
            began = time.monotonic()
            delivery = await pull
            idle_s = time.monotonic() - began + 0.25
            trainer.client.entry_index += 1
            again = await trainer.step(number)
            check_claim(
                again == delivery, f"step {number}: the other entry returns the same"
            )
            spans = [span for s in delivery.samples for span in s.spans]
            versions = sorted({span[2] for span in spans})
            lag = [delivery.version - sample.oldest for sample in delivery.samples]
            bound = declared.staleness_bound
            check_claim(
                max(lag) <= bound,
                f"step {number}: no sample is more than {bound} versions behind",
            )
            labelled = all(
                sample.spans[0][0] == 0 and sample.spans[-1][1] == len(sample.token_ids)
                for sample in delivery.samples
            )
            check_claim(
                labelled,
                f"step {number}: every token is labelled with its weight version",
            )
            mixed += sum(1 for s in delivery.samples if len(s.spans) > 1)
            ids += [sample.id for sample in delivery.samples]
            print(
                f"      {len(delivery.samples)} samples, weight versions {versions}, "
                f"idle {idle_s:.2f} s, mean staleness {sum(lag) / len(lag):.2f}"
            )
    check_claim(len(ids) == len(set(ids)), f"{len(ids)} samples, none delivered twice")
    check_claim(mixed > 0, f"{mixed} samples span a weight change, labelled by token")


async def check_parameter_change(deployment: Deployment, targets: StoryTargets) -> None:
    """Check that a changed parameter becomes active in all processes."""
    print("A changed parameter:")
    source = copy.deepcopy(deployment.catalog.source)
    for workspace in source["workspaces"]:
        if workspace["name"] == targets.workspace:
            workspace.setdefault("parameters", {})["timeout"] = NEW_TIMEOUT_S
    changed = declarations.parse(source, "story")
    began = time.monotonic()
    answer = await deployment.apply(changed, "story", 1)
    check_claim(answer.status == 200, "it was accepted as revision 2")
    rows = await deployment.until_in_force(2)
    duration_s = time.monotonic() - began
    check_claim(duration_s < 5, f"revision 2 is in force in all {len(rows)} processes")
    print(f"      within {duration_s:.2f} s")
    second = await deployment.apply(changed, "story", 1)
    check_claim(second.status == 409, "an apply based on revision 1 is now rejected")


async def call_status(deployment: Deployment, targets: StoryTargets, key: str) -> int:
    """Return the response status of a call with a key; 0 if there is no answer."""
    urls = deployment.caller_urls(f"/{targets.workspace}")
    async with AsyncClient(urls, workspace_key=key) as client:
        outcome = await client.call("GET", f"/services/{targets.service}/")
        return outcome.status if isinstance(outcome, Answered) else 0


async def check_keys(deployment: Deployment, targets: StoryTargets) -> None:
    """Check calls with workspace keys, before and after one is removed."""
    print("Keys of a workspace:")
    source = copy.deepcopy(deployment.catalog.source)
    source["keys"] = [
        {"name": name, "workspace": targets.workspace, "digest": key_digest(name)}
        for name in ("old-key", "new-key")
    ]
    for base, removed in ((2, ""), (3, "old-key")):
        source["keys"] = [key for key in source["keys"] if key["name"] != removed]
        changed = declarations.parse(source, "story")
        await deployment.apply(changed, "story", base)
        await deployment.until_in_force(base + 1)
        keyless_status = await call_status(deployment, targets, "")
        check_claim(keyless_status == 401, "a call without a key is rejected")
        old, new = [
            await call_status(deployment, targets, key)
            for key in ("old-key", "new-key")
        ]
        check_claim(new == 200, "a call with a key is answered")
        expected = 401 if removed else 200
        statement = (
            "a removed key is rejected" if removed else "a second key is accepted too"
        )
        check_claim(old == expected, statement)


async def tell(folder: pathlib.Path) -> None:
    """Start a deployment and check all statements on it."""
    catalog = declarations.load(folder)
    targets = choose_targets(catalog)
    print(f"Starting {folder.name} on loopback.", flush=True)
    async with Deployment(catalog, speed=STANDIN_OPTIONS) as deployment:
        await deployment.apply(catalog, "first", 0)
        rows = await deployment.until_in_force(1)
        check_claim(True, f"{len(rows)} processes have revision 1 in force")
        await check_call(deployment, targets)
        await check_trainer(deployment, targets)
        await check_parameter_change(deployment, targets)
        await check_keys(deployment, targets)
    alive = [r.name for r in deployment.running.values() if r.process.poll() is None]
    check_claim(not alive, "no process was left running")


def main(
    folder: Annotated[pathlib.Path, typer.Argument()] = DEFAULT_FOLDER,
) -> None:
    """Check a deployment with stand-ins end to end on loopback."""
    try:
        asyncio.run(tell(folder))
    except (ClaimFailed, RuntimeError) as error:
        print(f"  FAILED  {error}", flush=True)
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
