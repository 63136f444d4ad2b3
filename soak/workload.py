"""Send requests and jobs to a deployment, and record the answers."""

import asyncio
import itertools
import json
import random
import time

import attrs

from gypsumshift.httpclient import Fetcher, FetchError
from soak.deployment import FRONT_PORT, Deployment
from soak.keys import KeyRotator
from soak.positions import PositionChecker
from standins.users_documents import HOST, job_body, results_target
from standins.users_worker import plain_answer

__all__ = ["Observations", "Refusal", "Workload"]

GROUPS, GROUP_SIZE = 3, 3
REFUSAL_STATUSES = (429, 503)
ANSWER_TIMEOUT_S = 4.0
# Number of the newest jobs that are read while faults are injected.
RECENT_JOBS = 8


@attrs.frozen
class Refusal:
    """A refused attempt.

    Attributes
    ----------
    target, gateway : str
    sent_at, answered_at : float
        Unix time in seconds.
    content : bytes
    """

    target: str
    gateway: str
    sent_at: float
    answered_at: float
    content: bytes


@attrs.define
class Observations:
    """What callers and trainers received.

    Attributes
    ----------
    violations : list of str
        Answers that violate a guarantee.
    refused : dict
        `Refusal` by id of requests whose last attempt was refused.
    uncertain : set of str
        Ids of requests with an attempt that was not refused, so that they may have run.
    unrepeatable : set of str
        Ids of requests that must not run more than once.
    jobs : dict
        Item ids of each accepted job.
    positions : dict
        `PositionChecker` of each job that was read.
    served_count : int
    """

    violations: list[str] = attrs.field(factory=list)
    refused: dict[str, Refusal] = attrs.field(factory=dict)
    uncertain: set[str] = attrs.field(factory=set)
    unrepeatable: set[str] = attrs.field(factory=set)
    jobs: dict[str, set[str]] = attrs.field(factory=dict)
    positions: dict[str, PositionChecker] = attrs.field(factory=dict)
    served_count: int = 0

    def record_attempt(self, request: str, answer, refusal: Refusal) -> None:
        """Record the answer to an attempt, a refusal if its status says so."""
        if answer is not None and answer[0] in REFUSAL_STATUSES:
            self.refused[request] = refusal
        else:
            self.refused.pop(request, None)
            self.uncertain.add(request)


class Workload:
    """Callers, trainers and readers that use the gateways.

    Parameters
    ----------
    deployment : Deployment
    seed : int
    """

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.keys = KeyRotator(deployment, seed)
        self.rng = random.Random(seed)
        self.read_rng = random.Random(f"{seed} reads")
        self.fetcher = Fetcher()
        self.seen = Observations()
        self.request_numbers = itertools.count()
        self.stopping = False

    def new_id(self) -> str:
        """Return a unique request id."""
        return f"q-{self.deployment.seed}-{next(self.request_numbers)}"

    async def send_request(
        self, method, target, request_id, body=b"", gateway=None, key=""
    ):
        """Send a request to a gateway; return status and body.

        Returns None if there was no complete answer. Without a gateway, a random one is
        used; without a key, the permanent one.
        """
        gateway = gateway or self.rng.choice(self.deployment.of_kind("gateway"))
        sent_at = time.time()
        request = (method, target, request_id, body, key)
        answer = await self.attempt(gateway, *request)
        content = answer[1] if answer is not None else b""
        refusal = Refusal(target, gateway.name, sent_at, time.time(), content)
        self.seen.record_attempt(request_id, answer, refusal)
        return answer

    async def attempt(self, gateway, method, target, request_id, body, key):
        """Send a request to a gateway; return status and body, None if incomplete."""
        fields = [("request-id", request_id), ("deadline-ms", "2500")]
        fields.append(("wait-ms", "500"))
        fields.append(("key", key or self.keys.permanent.text))
        # A workspace named by the caller must be ignored.
        fields.append(("tenant", "another"))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                exchange = await self.fetcher.open(
                    (gateway.ip, FRONT_PORT), method, target, fields, body, host=HOST
                )
                content = await exchange.read()
        except (FetchError, TimeoutError):
            return None
        exchange.close()
        return exchange.status, content

    async def call(self) -> None:
        """Send plain requests one after another."""
        while not self.stopping:
            request_id = self.new_id()
            once = self.rng.random() < 0.3
            if once:
                self.seen.unrepeatable.add(request_id)
            target = "/once/1" if once else "/app/1"
            key = self.keys.choose_key(request_id)
            answer = await self.send_request(
                "POST", target, request_id, b"x" * 100, key=key
            )
            if answer is not None:
                self.check_answer(request_id, *answer)
            await asyncio.sleep(self.rng.uniform(0, 0.1))

    def check_answer(self, request_id: str, status: int, content: bytes) -> None:
        """Record the answer to a plain request, with its violations."""
        violation = self.keys.check_answer(request_id, status)
        if violation:
            self.seen.violations.append(violation)
        if status == 200 and content != plain_answer(request_id):
            self.seen.violations.append(
                f"{request_id}: received the answer to another request"
            )
        elif status == 404:
            self.seen.violations.append(f"{request_id}: 404 for a known route")
        elif status == 200:
            self.seen.served_count += 1

    async def train(self) -> None:
        """Submit jobs, each with retries until it is accepted."""
        while not self.stopping:
            job = self.new_id()
            body = job_body(job, GROUPS, GROUP_SIZE)
            while not self.stopping:
                answer = await self.send_request("POST", "/batch/1", job, body)
                if answer is not None and answer[0] == 202:
                    requests = json.loads(body)["requests"]
                    self.seen.jobs[job] = {r["id"] for r in requests}
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))

    async def read_on(self) -> None:
        """Read recent jobs from random known positions, at random gateways."""
        while not self.stopping:
            await asyncio.sleep(self.read_rng.uniform(0, 0.1))
            if not self.seen.jobs:
                continue
            job = self.read_rng.choice(list(self.seen.jobs)[-RECENT_JOBS:])
            after = self.read_rng.randint(
                0, len(self.position_checker(job).results_by_position)
            )
            gateway = self.read_rng.choice(self.deployment.of_kind("gateway"))
            answer = await self.request_results(job, after, gateway)
            if answer is not None and answer[0] == 200:
                self.check_page(job, after, answer[1], gateway.name)

    async def request_results(self, job: str, after: int, gateway):
        """Request the results of a job from a position on at a gateway."""
        target = results_target(job, after)
        return await self.send_request("GET", target, self.new_id(), gateway=gateway)

    def position_checker(self, job: str) -> PositionChecker:
        """Return the checker with the results read of a job so far."""
        return self.seen.positions.setdefault(job, PositionChecker(job))

    def check_page(self, job: str, after: int, content: bytes, reader: str) -> list:
        """Check results of a job from a position on, and return them."""
        results = json.loads(content)["results"]
        self.seen.violations += self.position_checker(job).check_page(
            after, results, reader
        )
        return results

    async def read(self, job: str, gateway) -> list[dict]:
        """Read all results of a job at a gateway; retries without a time limit."""
        results: list[dict] = []
        while len(results) < len(self.seen.jobs[job]):
            answer = await self.request_results(job, len(results), gateway)
            if answer is None or answer[0] != 200:
                if answer is not None and answer[0] in (404, 410):
                    self.seen.violations.append(
                        f"{job}: an accepted job is unknown at {gateway.name}"
                    )
                    return results
                await asyncio.sleep(0.1)
                continue
            results += self.check_page(job, len(results), answer[1], gateway.name)
        return results
