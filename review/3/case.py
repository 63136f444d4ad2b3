"""Case: items of a batch job run at a service to which their route never led."""

import asyncio
import base64
import json
import pathlib
import sys

from review.common import BOUNDS, CannotRun, Deployment, Record, call, main

HOST = "ficu95.example"
MODEL = "daka510000"
ITEMS, GROUP_SIZE = 24, 4
FIRST, ADDED, APP = "lm-pool", "lm-pool-next", "booking-app"
# Engines by service. The added ones are less than three tenths of those that are there.
ENGINES = {FIRST: 7, ADDED: 2}
FIRST_PREFIX, ADDED_PREFIX, SCORE_PREFIX = "/pule252/", "/pufe910/", "/pufi791/"
# Time beyond `config_apply_ms` before the batch job is submitted, in seconds.
MARGIN_S = 1.5
# Time for the agents of the added service to start, in seconds.
AGENT_START_S = 3.0


def batch_route(name: str, prefix: str, service: str) -> dict:
    """Return the route of a trainer's batch jobs."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "rollout",
        "service": service,
        "attempts": 3,
        "slo_ms": 400,
        "run_slo_ms": 7500,
        "timeout_ms": 10000,
        "retention_s": 40,
        "priority": 1,
    }


def config(version: int, added: bool) -> dict:
    """Return the configuration, with the added service and its route or without."""
    engine = {"slots": 12, "kv_capacity": 98362, "models": [{"name": MODEL}]}
    routes = [
        batch_route("match-roll", FIRST_PREFIX, FIRST),
        {
            "name": "avail-chk",
            "host": HOST,
            "prefix": SCORE_PREFIX,
            "kind": "safe",
            "service": APP,
            "attempts": 4,
            "slo_ms": 400,
            "timeout_ms": 2000,
            "priority": 2,
        },
    ]
    services = [{"name": FIRST, "engine": engine}, {"name": APP}]
    if added:
        routes.append(batch_route("route-roll", ADDED_PREFIX, ADDED))
        services.append({"name": ADDED, "engine": engine})
    limits = {"max_body_bytes": 33554432}
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


def job_body(job: str, prefix: str) -> bytes:
    """Return a batch job whose items go to a route."""
    requests = []
    for number in range(ITEMS):
        item = f"{job}{number:04x}"
        requests.append(
            {
                "id": item,
                "path": f"{prefix}3/{item}",
                "headers": {"Model": MODEL, "Token-Count": "540,400"},
                "body": base64.b64encode(item.encode()).decode(),
                "tokens": 940,
                "group": f"{job}-{number // GROUP_SIZE}",
                "scorer": {
                    "id": f"5c{item}",
                    "host": HOST,
                    "path": f"{SCORE_PREFIX}{item}",
                    "body": base64.b64encode(b"score").decode(),
                },
            }
        )
    value = {"step": 1, "model": MODEL, "min_version": 1}
    value["target_groups"] = ITEMS // GROUP_SIZE
    return json.dumps(value | {"requests": requests}).encode()


async def run_job(
    deployment: Deployment, record: Record, gateway, job: str, prefix: str
) -> None:
    """Submit a batch job to a route, and read its results until all are listed."""
    headers = {"Host": HOST, "Request-Id": job, "Content-Type": "application/json"}
    body = job_body(job, prefix)
    reply = await call(gateway, "POST", f"{prefix}{job}", headers, body, 10.0)
    record.line(f"batch job {job} of {ITEMS} items to {prefix}: {reply.describe()}")
    if reply.status != 202:
        raise CannotRun("the batch job was not accepted")

    async def is_done() -> bool:
        target = f"/gypsumshift/lots/{job}?after=0"
        page = await call(gateway, "GET", target, {"Host": HOST}, timeout=5.0)
        return page.status == 200 and json.loads(page.body)["next"] == ITEMS

    await deployment.until(is_done, 30.0)
    record.line(f"all results of {job} are listed")


def count_runs(deployment: Deployment, record: Record, job: str) -> dict[str, int]:
    """Return how many runs of a job's items each service began."""
    counts = {FIRST: 0, ADDED: 0}
    for service in counts:
        for number in range(ENGINES[service]):
            name = f"{service}-{number}"
            runs = deployment.runs_of(name)
            mine = [r["request"] for r in runs if r.get("request", "").startswith(job)]
            counts[service] += len(mine)
            record.line(f"runs of {job} at {name}: {len(mine)} {' '.join(mine)}")
    return counts


async def start_pool(deployment: Deployment, service: str) -> None:
    """Start the engines of a service, each with its agent."""
    for number in range(ENGINES[service]):
        options = ("--models", MODEL, "--slots", "12", "--work-ms", "60")
        engine = await deployment.start_worker(f"{service}-{number}", service, *options)
        await deployment.start_agent(f"agent-{service}-{number}", service, engine)


async def case(deployment: Deployment, record: Record, trouble: bool) -> bool:
    """Add a service with a route of its own, then submit a batch job to that route."""
    await deployment.start_store(config(100, added=False))
    await deployment.start_worker(f"{APP}-0", APP, "--work-ms", "30")
    await start_pool(deployment, FIRST)
    gateway = await deployment.start_gateway("front-plateau-1")
    await run_job(deployment, record, gateway, "aa01", FIRST_PREFIX)
    count_runs(deployment, record, "aa01")
    if trouble:
        await start_pool(deployment, ADDED)
        await asyncio.sleep(AGENT_START_S)
        await deployment.write_config(config(107, added=True))
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + MARGIN_S)
    prefix, own = (ADDED_PREFIX, ADDED) if trouble else (FIRST_PREFIX, FIRST)
    await run_job(deployment, record, gateway, "bb02", prefix)
    counts = count_runs(deployment, record, "bb02")
    foreign = sum(count for service, count in counts.items() if service != own)
    record.line(
        f"{foreign} runs of bb02 at a service to which no configuration lets it go"
    )
    return foreign > 0


if __name__ == "__main__":
    sys.exit(main(case, pathlib.Path(__file__).resolve().parent))
