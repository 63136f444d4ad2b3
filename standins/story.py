"""The main job from end to end, checked and told: ``python -m standins.story``.

Exits 0 only where every statement that it prints was checked to be true.
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
    """Something that should hold did not."""


def check_claim(holds: bool, statement: str) -> None:
    """Print a statement where it holds; fail the story where it does not."""
    if not holds:
        raise ClaimFailed(statement)
    print(f"  ok  {statement}", flush=True)


@attrs.define
class StoryTargets:
    """What the story calls, by the declarations.

    Attributes
    ----------
    workspace, trainer : str
    service : str
        Name of a plain service of the workspace.
    route : str
        Path of a request there that may not be repeated.
    """

    workspace: str
    trainer: str
    service: str
    route: str


def choose_targets(catalog: Catalog) -> StoryTargets:
    """Return the first trainer's workspace, and an unrepeatable route of it."""
    trainer = next(iter(catalog.trainers.values()))
    parameters = catalog.workspaces[trainer.workspace]
    pattern = parameters.unrepeatable[0].partition(" ")[2]
    service = next(iter(parameters.services))
    return StoryTargets(
        trainer.workspace, trainer.name, service, pattern.replace("*", "4711")
    )


async def count_runs(deployment: Deployment, pool: str, request_id: str) -> int:
    """Return how often the backend servers of a pool ran a request."""
    total = 0
    for name, running in deployment.running.items():
        if name.startswith(pool) and "backend" in running.ports:
            address = (HOST, running.ports["backend"])
            answer = await deployment.fetcher.fetch(address, "GET", "/standin")
            total += json.loads(answer.body)["runs"].get(request_id, 0)
    return total


async def check_call(deployment: Deployment, names: StoryTargets) -> None:
    """A client's request that may not be repeated, sent twice with one key."""
    print("A client's request that may not be repeated:")
    path = f"/services/{names.service}{names.route}"
    options = {"key": "story-1", "headers": {"request-id": "story-1"}}
    async with AsyncClient(deployment.caller_urls(f"/{names.workspace}")) as client:
        first = await client.call("POST", path, {"client": 1}, **options)
        check_claim(
            isinstance(first, Answered) and first.status == 200, "it was answered"
        )
        backend = first.header("gypsumshift-backend")
        print(f"      by {backend}, attempts {first.header('gypsumshift-attempts')}")
        client.entry_index += 1
        again = await client.call("POST", path, {"client": 1}, **options)
        same = isinstance(again, Answered) and again.body == first.body
        check_claim(same, "the same key at the other entry got the same answer")
    pool = backend.rpartition("-")[0]
    check_claim(
        await count_runs(deployment, pool, "story-1") == 1, "it ran exactly once"
    )


async def check_trainer(deployment: Deployment, names: StoryTargets) -> None:
    """Steps across weight changes, each delivered once and labelled."""
    print("A trainer's steps across weight changes:")
    path = f"/{names.workspace}/trainers/{names.trainer}"
    declared = deployment.catalog.trainers[names.trainer]
    ids, mixed = [], 0
    async with AsyncTrainer(deployment.caller_urls(path)) as trainer:
        standin = FakeTrainer(trainer, names.trainer, max_tokens=160)
        await standin.submit(declared.groups_per_step * (STEPS + 1))
        for number in range(1, STEPS + 1):
            pull = asyncio.create_task(trainer.step(number))
            await asyncio.sleep(0.25)
            # Published while the step is generated: some samples span versions.
            await trainer.publish(number, b"w" * 1_000_000)
            began = time.monotonic()
            delivery = await pull
            idle = time.monotonic() - began + 0.25
            trainer.client.entry_index += 1
            again = await trainer.step(number)
            check_claim(
                again == delivery, f"step {number}: the other entry gives the same"
            )
            spans = [span for s in delivery.samples for span in s.spans]
            versions = sorted({span[2] for span in spans})
            lag = [delivery.version - sample.oldest for sample in delivery.samples]
            bound = declared.staleness_bound
            check_claim(
                max(lag) <= bound, f"step {number}: no sample is past {bound} versions"
            )
            whole = all(
                sample.spans[0][0] == 0 and sample.spans[-1][1] == len(sample.token_ids)
                for sample in delivery.samples
            )
            check_claim(whole, f"step {number}: every token has its weight version")
            mixed += sum(1 for s in delivery.samples if len(s.spans) > 1)
            ids += [sample.id for sample in delivery.samples]
            print(
                f"      {len(delivery.samples)} samples, weight versions {versions}, "
                f"idle {idle:.2f} s, mean staleness {sum(lag) / len(lag):.2f}"
            )
    check_claim(len(ids) == len(set(ids)), f"{len(ids)} samples, none delivered twice")
    check_claim(mixed > 0, f"{mixed} samples span a weight change, labelled by token")


async def check_parameter_change(deployment: Deployment, names: StoryTargets) -> None:
    """A changed parameter, in force on every process."""
    print("A changed parameter:")
    source = copy.deepcopy(deployment.catalog.source)
    for workspace in source["workspaces"]:
        if workspace["name"] == names.workspace:
            workspace.setdefault("parameters", {})["timeout"] = NEW_TIMEOUT_S
    changed = declarations.parse(source, "story")
    began = time.monotonic()
    answer = await deployment.apply(changed, "story", 1)
    check_claim(answer.status == 200, "it was accepted as revision 2")
    rows = await deployment.until_in_force(2)
    took = time.monotonic() - began
    check_claim(took < 5, f"revision 2 is in force in all {len(rows)} processes")
    print(f"      within {took:.2f} s")
    second = await deployment.apply(changed, "story", 1)
    check_claim(
        second.status == 409, "an apply planned on revision 1 is now a conflict"
    )


async def call_status(deployment: Deployment, names: StoryTargets, key: str) -> int:
    """Return the status that a call with a key gets; 0 for no answer."""
    urls = deployment.caller_urls(f"/{names.workspace}")
    async with AsyncClient(urls, workspace_key=key) as client:
        outcome = await client.call("GET", f"/services/{names.service}/")
        return outcome.status if isinstance(outcome, Answered) else 0


async def check_keys(deployment: Deployment, names: StoryTargets) -> None:
    """Calls with keys of a workspace, of which one is taken away."""
    print("Keys of a workspace:")
    source = copy.deepcopy(deployment.catalog.source)
    source["keys"] = [
        {"name": name, "workspace": names.workspace, "digest": key_digest(name)}
        for name in ("old-key", "new-key")
    ]
    for base, taken in ((2, ""), (3, "old-key")):
        source["keys"] = [key for key in source["keys"] if key["name"] != taken]
        changed = declarations.parse(source, "story")
        await deployment.apply(changed, "story", base)
        await deployment.until_in_force(base + 1)
        without = await call_status(deployment, names, "")
        check_claim(without == 401, "a call without a key is not run")
        old, new = [
            await call_status(deployment, names, key) for key in ("old-key", "new-key")
        ]
        check_claim(new == 200, "a call with a key is answered")
        expected = 401 if taken else 200
        told = (
            "a key that was taken away is none any more" if taken else "so is another"
        )
        check_claim(old == expected, told)


async def tell(folder: pathlib.Path) -> None:
    """Run the story on one deployment."""
    catalog = declarations.load(folder)
    names = choose_targets(catalog)
    print(f"Starting {folder.name} on loopback.", flush=True)
    async with Deployment(catalog, speed=STANDIN_OPTIONS) as deployment:
        await deployment.apply(catalog, "first", 0)
        rows = await deployment.until_in_force(1)
        check_claim(True, f"{len(rows)} processes have revision 1 in force")
        await check_call(deployment, names)
        await check_trainer(deployment, names)
        await check_parameter_change(deployment, names)
        await check_keys(deployment, names)
    alive = [r.name for r in deployment.running.values() if r.process.poll() is None]
    check_claim(not alive, "nothing was left running")


def main(
    folder: Annotated[pathlib.Path, typer.Argument()] = DEFAULT_FOLDER,
) -> None:
    """Run the main job on embedded stand-ins and check each statement."""
    try:
        asyncio.run(tell(folder))
    except (ClaimFailed, RuntimeError) as error:
        print(f"  FAILED  {error}", flush=True)
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
