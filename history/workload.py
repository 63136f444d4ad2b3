"""Recorded workload of concurrent callers, a trainer and operators."""

import asyncio
import copy
import json
import random
import time

import attrs

from gypsumshift import Answered, AsyncClient, AsyncTrainer, NotRun
from gypsumshift.httpclient import FetchError
from standins.deployment import Deployment
from standins.engine import prompt_digest
from standins.trainer import FakeTrainer

__all__ = ["Recorder", "Workload"]

CALL_TIMEOUT_S = 6.0
PROBE_PERIOD_S = 0.5
APPLY_PERIOD_S = 3.0
PUBLISH_PAUSE_S = 0.3
UNDELIVERED_GROUPS = 12
DUPLICATE_SHARE = 0.3
NO_RETRY_SHARE = 0.3
MEAN_THINK_TIME_S = 0.02


class Recorder:
    """Collects the records of one history."""

    def __init__(self):
        self.records: list[dict] = []

    def add(self, kind: str, **fields) -> dict:
        """Add a record of a kind; return it, so that it can be completed later."""
        record = {"kind": kind, **fields}
        self.records.append(record)
        return record


@attrs.define
class Workload:
    """Runs all users of a deployment and records what they observe.

    Attributes
    ----------
    deployment : Deployment
    recorder : Recorder
    seed : int
    workspace, trainer : str
    stopping : asyncio.Event
        Set when no new work is to be started.
    """

    deployment: Deployment
    recorder: Recorder
    seed: int
    workspace: str = "clinics"
    trainer: str = "scheduling-trainer"
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    call_count: int = 0
    submitted: int = 0
    delivered: int = 0
    version: int = 0

    async def run(self, callers: int) -> None:
        """Run all users until `stopping` is set and the trainer has pulled all."""
        caller_loops = [self.run_caller(number) for number in range(callers)]
        await asyncio.gather(
            *caller_loops, self.run_trainer(), self.run_operators(), self.run_probes()
        )

    # Callers

    async def run_caller(self, number: int) -> None:
        """Make one random call after another until stopping."""
        rng = random.Random(f"{self.seed}/{number}")
        urls = self.deployment.caller_urls(f"/{self.workspace}")
        rng.shuffle(urls)
        async with AsyncClient(urls, CALL_TIMEOUT_S) as client:
            async with AsyncClient(urls[::-1], CALL_TIMEOUT_S) as second_client:
                while not self.stopping.is_set():
                    await self.call_once(rng, client, second_client)
                    await asyncio.sleep(rng.expovariate(1 / MEAN_THINK_TIME_S))

    async def call_once(self, rng, client, second_client) -> None:
        """Make one random call; some sales are sent to two entries concurrently."""
        self.call_count += 1
        name = f"c{self.call_count}"
        sort = rng.choices(["read", "sale", "model", "stream"], [40, 30, 15, 15])[0]
        no_retries = rng.random() < NO_RETRY_SHARE
        if sort == "read":
            await self.call_service(
                client, "read", name, "GET", "/availability", no_retries
            )
        elif sort == "sale":
            path = f"/bookings/{name}/confirm"
            duplicate = rng.random() < DUPLICATE_SHARE
            clients = [client, second_client] if duplicate else [client]
            # Only a caller that sends a key once may declare it fresh.
            fresh_key = no_retries and not duplicate
            await asyncio.gather(
                *(
                    self.call_service(
                        c, "sale", name, "POST", path, no_retries, fresh_key
                    )
                    for c in clients
                )
            )
        else:
            await self.call_model(client, sort, name, rng.randint(4, 40), no_retries)

    async def call_service(
        self, client, sort, name, method, path, no_retries, fresh_key=False
    ) -> None:
        """Call a plain service with or without client retries; record the outcome."""
        fields = {"request-id": name}
        if sort == "sale":
            fields["idempotency-key"] = name
        if fresh_key:
            fields["gypsumshift-fresh-key"] = "?1"
        began = time.time()
        path = f"/services/booking{path}"
        if no_retries:
            headers = [*fields.items(), ("prefer", f"wait={CALL_TIMEOUT_S}")]
            outcome = await client.call_once(method, path, headers, b"", CALL_TIMEOUT_S)
        else:
            outcome = await client.call(method, path, headers=fields)
        own = whole = True
        why = ""
        if isinstance(outcome, Answered):
            try:
                value = json.loads(outcome.body)
                own = value.get("request") == name
            except ValueError:
                whole = False
            why = f"status {outcome.status}: {outcome.body[:80]!r}"
        self.record_call(sort, name, began, outcome, own, whole, why)

    async def call_model(self, client, sort, name, tokens, no_retries) -> None:
        """Request a completion with or without client retries; record the outcome."""
        prompt = f"{name} asks for an interpreter"
        body = {"prompt": prompt, "max_tokens": tokens, "stream": sort == "stream"}
        began = time.time()
        path = "/v1/completions"
        if no_retries:
            data = json.dumps(body).encode()
            outcome = await client.call_once("POST", path, [], data, CALL_TIMEOUT_S)
        else:
            outcome = await client.call("POST", path, body, key=name)
        own = whole = True
        if isinstance(outcome, Answered):
            data = outcome.body
            own = prompt_digest(prompt).encode() in data
            if sort == "stream":
                whole = data.count(b'"token_ids"') == tokens and b"[DONE]" in data
            else:
                whole = b'"completion_tokens": %d' % tokens in data
        self.record_call(sort, name, began, outcome, own, whole, f"{tokens} tokens")

    def record_call(self, sort, name, began, outcome, own, whole, why) -> None:
        """Record a call with its outcome and time."""
        outcome_name = "answered" if isinstance(outcome, Answered) else "unknown"
        if isinstance(outcome, NotRun):
            outcome_name = "not run"
        fields = {"sort": sort, "id": name, "from": began, "to": time.time()}
        if outcome_name != "answered":
            why = outcome.reason
        self.recorder.add(
            "call", **fields, outcome=outcome_name, own=own, whole=whole, why=why
        )

    # Trainer

    async def run_trainer(self) -> None:
        """Pull steps and publish weights; when stopping, pull all remaining samples."""
        declared = self.deployment.catalog.trainers[self.trainer]
        path = f"/{self.workspace}/trainers/{self.trainer}"
        urls = self.deployment.caller_urls(path)
        rng = random.Random(f"{self.seed}/trainer")
        async with (
            AsyncTrainer(urls) as client,
            AsyncTrainer(urls[::-1]) as second_client,
        ):
            fake_trainer = FakeTrainer(client, self.trainer, self.seed, max_tokens=120)
            step = 0
            while not self.stopping.is_set() or self.delivered < self.submitted:
                if not self.stopping.is_set():
                    await self.submit(fake_trainer)
                step += 1
                client.version = second_client.version = self.version
                delivery = await self.pull_step(client, step, declared)
                if rng.random() < 0.3:
                    await self.pull_step(second_client, step, declared)
                self.delivered += len(delivery.samples)
                await asyncio.sleep(PUBLISH_PAUSE_S)
                self.version += rng.randint(1, 2)
                await client.publish(self.version, b"w" * 100_000)
            self.recorder.add("end")

    async def submit(self, fake_trainer: FakeTrainer) -> None:
        """Submit groups until enough of them are undelivered."""
        undelivered = (self.submitted - self.delivered) // fake_trainer.samples
        count = UNDELIVERED_GROUPS - undelivered
        if count <= 0:
            return
        declared = self.deployment.catalog.trainers[self.trainer]
        count -= (undelivered + count) % declared.groups_per_step
        groups = fake_trainer.next_groups(count)
        names = [f"{g.id}/{n}" for g in groups for n in range(g.samples)]
        self.submitted += len(names)
        await fake_trainer.trainer.submit(groups)
        if random.Random(self.submitted).random() < 0.3:
            await fake_trainer.trainer.submit(groups)
        self.recorder.add("submitted", samples=names)

    async def pull_step(self, trainer, step: int, declared):
        """Pull a step and record its delivery."""
        version = trainer.version
        delivery = await trainer.step(step)
        samples = [
            {"id": s.id, "spans": s.spans, "token_ids": s.token_ids}
            for s in delivery.samples
        ]
        repeated = any(
            record["kind"] == "delivery" and record["step"] == step
            for record in self.recorder.records
        )
        self.recorder.add(
            "delivery",
            at=time.time(),
            step=step,
            trainer_version=version,
            bound=declared.staleness_bound,
            repeated=repeated,
            samples=samples,
        )
        return delivery

    # Operator

    async def run_operators(self) -> None:
        """Change a parameter periodically, each time by two racing operators."""
        source = copy.deepcopy(self.deployment.catalog.source)
        number = 1
        while not self.stopping.is_set():
            await asyncio.sleep(APPLY_PERIOD_S)
            number += 1
            source["workspaces"][0]["parameters"] = {"timeout": 5.0 + number % 5}
            await asyncio.gather(
                *(self.apply_revision(source, who) for who in range(2))
            )

    async def apply_revision(self, source: dict, who: int) -> None:
        """Apply declarations on top of the latest revision, through one entry."""
        value = {"declarations": source, "author": f"operator-{who}", "message": "race"}
        try:
            plan = await self.deployment.operator("POST", "/v1/plan", value, who)
            value["base"] = json.loads(plan.body).get("base")
            answer = await self.deployment.operator("POST", "/v1/apply", value, who)
        except FetchError:
            return
        if answer.status == 200:
            number = json.loads(answer.body)["number"]
            self.recorder.add("accepted", at=time.time(), number=number)

    async def run_probes(self) -> None:
        """Record periodically the revision that each process has in force."""
        turn = 0
        while not self.stopping.is_set():
            await asyncio.sleep(PROBE_PERIOD_S)
            turn += 1
            try:
                rows = await self.deployment.status(turn % 2)
            except (FetchError, ValueError):
                continue
            now = time.time()
            for row in rows:
                if row["answers"] and row["revision"] >= 0:
                    self.recorder.add(
                        "probe",
                        at=now,
                        process=row["name"],
                        incarnation=row["incarnation"],
                        revision=row["revision"],
                    )
