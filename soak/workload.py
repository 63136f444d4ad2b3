"""Workload: callers and a trainer, and what they saw."""

import asyncio
import itertools
import json
import random

import attrs

from gypsumshift.httpclient import Fetcher, FetchError
from soak.deployment import FRONT, Deployment
from soak.keys import KeyRotator
from soak.positions import PositionChecker
from standins.users_documents import HOST, job_body, results_target
from standins.users_worker import plain_answer

__all__ = ["Observations", "Workload"]

GROUPS, GROUP_SIZE = 3, 3
ANSWER_TIMEOUT_S = 4.0
# Of the newest jobs, so many are read while faults run.
RECENT_JOBS = 8


@attrs.define
class Observations:
    """What callers and the trainer saw.

    Attributes
    ----------
    wrong : list of str
        Answers that break a promise.
    refused : set of str
        Requests that were said not to have run.
    once : set of str
        Requests that may not be repeated.
    jobs : dict
        Items by accepted job.
    positions : dict
        `PositionChecker` by job, from what was read.
    served : int
    """

    violations: list[str] = attrs.field(factory=list)
    refused: set[str] = attrs.field(factory=set)
    unrepeatable: set[str] = attrs.field(factory=set)
    jobs: dict[str, set[str]] = attrs.field(factory=dict)
    positions: dict[str, PositionChecker] = attrs.field(factory=dict)
    served_count: int = 0


class Workload:
    """Callers on kept connections, and a trainer.

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
        """Return an id that no other request has."""
        return f"q-{self.deployment.seed}-{next(self.request_numbers)}"

    async def send_request(
        self, method, target, request_id, body=b"", gateway=None, key=""
    ):
        """Send a request to a gateway; None where no whole answer came."""
        gateway = gateway or self.rng.choice(self.deployment.of_kind("gateway"))
        fields = [("request-id", request_id), ("deadline-ms", "2500")]
        fields.append(("wait-ms", "500"))
        fields.append(("key", key or self.keys.permanent.text))
        # Nobody is to be believed who says for whom he calls.
        fields.append(("tenant", "another"))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                exchange = await self.fetcher.open(
                    (gateway.ip, FRONT), method, target, fields, body, host=HOST
                )
                content = await exchange.read()
        except (FetchError, TimeoutError):
            return None
        exchange.close()
        return exchange.status, content

    async def call(self) -> None:
        """Send requests one after another."""
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
        """Take the answer to a plain request."""
        wrong = self.keys.check_answer(request_id, status)
        if wrong:
            self.seen.violations.append(wrong)
        if status in (429, 503):
            self.seen.refused.add(request_id)
        elif status == 200 and content != plain_answer(request_id):
            self.seen.violations.append(f"{request_id}: the answer to another request")
        elif status == 404:
            self.seen.violations.append(f"{request_id}: 404 for a known route")
        elif status == 200:
            self.seen.served_count += 1

    async def train(self) -> None:
        """Submit jobs, each again until it is accepted."""
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
        """Read newer jobs from positions read before, at changing gateways."""
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
        """Ask a gateway for results from a position on."""
        target = results_target(job, after)
        return await self.send_request("GET", target, self.new_id(), gateway=gateway)

    def position_checker(self, job: str) -> PositionChecker:
        """Return what was read of a job."""
        return self.seen.positions.setdefault(job, PositionChecker(job))

    def check_page(self, job: str, after: int, content: bytes, reader: str) -> list:
        """Take results of a job from a position on, and return them."""
        results = json.loads(content)["results"]
        self.seen.violations += self.position_checker(job).check_page(
            after, results, reader
        )
        return results

    async def read(self, job: str, gateway) -> list[dict]:
        """Read all results of a job at a gateway, however long that takes."""
        found: list[dict] = []
        while len(found) < len(self.seen.jobs[job]):
            answer = await self.request_results(job, len(found), gateway)
            if answer is None or answer[0] != 200:
                if answer is not None and answer[0] in (404, 410):
                    self.seen.violations.append(f"{job}: an accepted job is not known")
                    return found
                await asyncio.sleep(0.1)
                continue
            found += self.check_page(job, len(found), answer[1], gateway.name)
        return found
