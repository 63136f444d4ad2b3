"""Workload: concurrent callers, a trainer and an operator, all recorded."""

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

CALL_TIMEOUT = 6.0
PROBE_PERIOD = 0.5
APPLY_PERIOD = 3.0
PUBLISH_PAUSE = 0.3
GROUPS_AHEAD = 12
DOUBLE_SHARE = 0.3
RAW_SHARE = 0.3
THINK = 0.02


class Recorder:
    """Keeps the records of one history."""

    def __init__(self):
        self.records: list[dict] = []

    def add(self, kind: str, **fields) -> dict:
        """Add a record."""
        record = {"kind": kind, **fields}
        self.records.append(record)
        return record


@attrs.define
class Workload:
    """Everybody who uses a deployment.

    Attributes
    ----------
    deployment : Deployment
    recorder : Recorder
    seed : int
    workspace, trainer : str
    done : asyncio.Event
        Set when no new work shall begin.
    """

    deployment: Deployment
    recorder: Recorder
    seed: int
    workspace: str = "clinics"
    trainer: str = "scheduling-trainer"
    done: asyncio.Event = attrs.field(factory=asyncio.Event)
    counter: int = 0
    submitted: int = 0
    delivered: int = 0
    version: int = 0

    async def run(self, callers: int) -> None:
        """Use the deployment until told to be done."""
        jobs = [self.caller(number) for number in range(callers)]
        await asyncio.gather(*jobs, self.train(), self.operate(), self.probe())

    # Callers

    async def caller(self, number: int) -> None:
        """Call one thing after another."""
        chance = random.Random(f"{self.seed}/{number}")
        urls = self.deployment.caller_urls(f"/{self.workspace}")
        chance.shuffle(urls)
        async with AsyncClient(urls, CALL_TIMEOUT) as client:
            async with AsyncClient(urls[::-1], CALL_TIMEOUT) as other:
                while not self.done.is_set():
                    await self.call_once(chance, client, other)
                    await asyncio.sleep(chance.expovariate(1 / THINK))

    async def call_once(self, chance, client, other) -> None:
        """Call one thing; some sales are made at two entries at once."""
        self.counter += 1
        name = f"c{self.counter}"
        sort = chance.choices(["read", "sale", "model", "stream"], [40, 30, 15, 15])[0]
        raw = chance.random() < RAW_SHARE
        if sort == "read":
            await self.service(client, "read", name, "GET", "/availability", raw)
        elif sort == "sale":
            path = f"/bookings/{name}/confirm"
            double = chance.random() < DOUBLE_SHARE
            clients = [client, other] if double else [client]
            # Only a caller that sends a key once may vouch for it.
            fresh = raw and not double
            await asyncio.gather(
                *(
                    self.service(c, "sale", name, "POST", path, raw, fresh)
                    for c in clients
                )
            )
        else:
            await self.model(client, sort, name, chance.randint(4, 40), raw)

    async def service(self, client, sort, name, method, path, raw, fresh=False) -> None:
        """Call a plain service; raw without the client's own retries."""
        fields = {"request-id": name}
        if sort == "sale":
            fields["idempotency-key"] = name
        if fresh:
            fields["gypsumshift-fresh-key"] = "?1"
        began = time.time()
        path = f"/services/booking{path}"
        if raw:
            headers = [*fields.items(), ("prefer", f"wait={CALL_TIMEOUT}")]
            outcome = await client.call_once(method, path, headers, b"", CALL_TIMEOUT)
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
        self.note(sort, name, began, outcome, own, whole, why)

    async def model(self, client, sort, name, tokens, raw) -> None:
        """Ask the model for a completion."""
        prompt = f"{name} asks for an interpreter"
        body = {"prompt": prompt, "max_tokens": tokens, "stream": sort == "stream"}
        began = time.time()
        path = "/v1/completions"
        if raw:
            data = json.dumps(body).encode()
            outcome = await client.call_once("POST", path, [], data, CALL_TIMEOUT)
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
        self.note(sort, name, began, outcome, own, whole, f"{tokens} tokens")

    def note(self, sort, name, began, outcome, own, whole, why) -> None:
        """Record a call."""
        words = "answered" if isinstance(outcome, Answered) else "unknown"
        if isinstance(outcome, NotRun):
            words = "not run"
        fields = {"sort": sort, "id": name, "from": began, "to": time.time()}
        if words != "answered":
            why = outcome.reason
        self.recorder.add(
            "call", **fields, outcome=words, own=own, whole=whole, why=why
        )

    # Trainer

    async def train(self) -> None:
        """Pull steps, publish weights, and at the end pull all that is left."""
        declared = self.deployment.catalog.trainers[self.trainer]
        path = f"/{self.workspace}/trainers/{self.trainer}"
        urls = self.deployment.caller_urls(path)
        chance = random.Random(f"{self.seed}/trainer")
        async with AsyncTrainer(urls) as one, AsyncTrainer(urls[::-1]) as two:
            standin = FakeTrainer(one, self.trainer, self.seed, max_tokens=120)
            step = 0
            while not self.done.is_set() or self.delivered < self.submitted:
                if not self.done.is_set():
                    await self.submit(standin)
                step += 1
                one.version = two.version = self.version
                delivery = await self.pull(one, step, declared)
                if chance.random() < 0.3:
                    await self.pull(two, step, declared)
                self.delivered += len(delivery.samples)
                await asyncio.sleep(PUBLISH_PAUSE)
                self.version += chance.randint(1, 2)
                await one.publish(self.version, b"w" * 100_000)
            self.recorder.add("end")

    async def submit(self, standin: FakeTrainer) -> None:
        """Keep some groups ahead."""
        ahead = (self.submitted - self.delivered) // standin.samples
        count = GROUPS_AHEAD - ahead
        if count <= 0:
            return
        declared = self.deployment.catalog.trainers[self.trainer]
        count -= (ahead + count) % declared.groups_per_step
        groups = standin.next_groups(count)
        names = [f"{g.id}/{n}" for g in groups for n in range(g.samples)]
        self.submitted += len(names)
        await standin.trainer.submit(groups)
        if random.Random(self.submitted).random() < 0.3:
            await standin.trainer.submit(groups)
        self.recorder.add("submitted", samples=names)

    async def pull(self, trainer, step: int, declared):
        """Pull a step and record it."""
        asked = trainer.version
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
            trainer_version=asked,
            bound=declared.staleness_bound,
            repeated=repeated,
            samples=samples,
        )
        return delivery

    # Operator

    async def operate(self) -> None:
        """Change a parameter again and again; two operators race."""
        source = copy.deepcopy(self.deployment.catalog.source)
        number = 1
        while not self.done.is_set():
            await asyncio.sleep(APPLY_PERIOD)
            number += 1
            source["workspaces"][0]["parameters"] = {"timeout": 5.0 + number % 5}
            await asyncio.gather(*(self.apply(source, who) for who in range(2)))

    async def apply(self, source: dict, who: int) -> None:
        """Apply on top of the newest revision, through one of the entries."""
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

    async def probe(self) -> None:
        """Record the revision that each process has in force."""
        turn = 0
        while not self.done.is_set():
            await asyncio.sleep(PROBE_PERIOD)
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
