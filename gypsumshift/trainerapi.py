"""Trainers: the HTTP face for groups, steps and weights."""

import asyncio
import json

import attrs

from gypsumshift import documents
from gypsumshift.generated.declarations import Trainer
from gypsumshift.groups import Group, Step
from gypsumshift.httpserver import Request, Response, json_response, problem_response
from gypsumshift.outcomes import (
    Committed,
    Conflict,
    Missing,
    Unavailable,
    Unknown,
)
from gypsumshift.process import Process
from gypsumshift.trainerdriver import DriverManager
from gypsumshift.trainerstore import TrainerStore
from gypsumshift.weightpublisher import WeightPublisher

__all__ = ["TrainerApi"]

MAX_GROUPS_PER_REQUEST = 4096
DEFAULT_WAIT_S = 20.0
MAX_WAIT_S = 60.0
SEAL_PERIOD_S = 1.0
RETRY_AFTER_S = 1.0
GROUP_SCHEMA = {
    "type": "array",
    "maxItems": MAX_GROUPS_PER_REQUEST,
    "description": f"a list of at most {MAX_GROUPS_PER_REQUEST} groups",
    "items": {
        "type": "object",
        "additionalProperties": False,
        "required": ["id", "prompt"],
        "description": "an object with id and prompt",
        "properties": {
            "id": {
                "type": "string",
                "pattern": "^[A-Za-z0-9._-]{1,128}$",
                "description": "1 to 128 letters, digits, dots, hyphens, underscores",
            },
            "prompt": {
                "type": "string",
                "maxLength": 65536,
                "description": "text of at most 65536 characters",
            },
            "samples": {
                "type": "integer",
                "minimum": 1,
                "maximum": 1024,
                "description": "a number from 1 to 1024",
            },
            "max_tokens": {
                "type": "integer",
                "minimum": 1,
                "maximum": 131072,
                "description": "a number from 1 to 131072",
            },
            "temperature": {
                "type": "number",
                "minimum": 0,
                "maximum": 10,
                "description": "a number from 0 to 10",
            },
        },
    },
}


class TrainerApi:
    """Answers trainers; any entry can, at any time.

    Parameters
    ----------
    process : Process
    generator : Generator
    """

    def __init__(self, process: Process, driver_manager: DriverManager):
        self.process = process
        self.driver_manager = driver_manager
        self.clock = process.clock
        self.platform = process.platform
        self.publisher = WeightPublisher(process)
        self.idle_seconds: dict[str, float] = {}
        self.mean_staleness: dict[str, float] = {}

    async def handle_request(
        self, request: Request, workspace: str, rest: str
    ) -> Response:
        """Answer one request of a trainer.

        Parameters
        ----------
        request : Request
        workspace : str
        rest : str
            Path behind ``/trainers/``.
        """
        name, _, what = rest.partition("/")
        trainer = self.process.active_revision.catalog.trainers.get(name)
        if trainer is None or trainer.workspace != workspace:
            return problem_response(
                404, "not run", f"{workspace} has no trainer {name!r}"
            )
        kind, _, argument = what.partition("/")
        if kind == "groups" and request.method == "POST" and not argument:
            return await self.submit_groups(trainer, request)
        if kind == "steps" and request.method == "GET" and argument.isdigit():
            return await self.pull_step(trainer, int(argument), request)
        if kind == "weights" and request.method == "PUT" and argument.isdigit():
            return await self.publish_weights(trainer, int(argument), request)
        if not kind and request.method == "GET":
            return await self.show_state(trainer)
        return problem_response(
            404, "not run", f"a trainer has no {request.method} {what!r}"
        )

    async def submit_groups(self, trainer: Trainer, request: Request) -> Response:
        """Accept groups, each once per id."""
        try:
            value = json.loads(request.body)
        except ValueError as error:
            return problem_response(400, "not run", f"the body is not JSON: {error}")
        problems = documents.check_against_schema(value, GROUP_SCHEMA, "body")
        if problems:
            return problem_response(422, "not run", str(problems[0]))
        groups = documents.build(value, list[Group])
        outcome = await TrainerStore(self.platform, trainer.name).accept_groups(groups)
        if isinstance(outcome, (Unavailable, Unknown)):
            return retry_response(outcome)
        self.process.recorder.record("groups", trainer.name, f"{outcome} accepted")
        return json_response(202, {"accepted": outcome, "known": len(groups) - outcome})

    async def pull_step(
        self, trainer: Trainer, number: int, request: Request
    ) -> Response:
        """Deliver a step: the same number always gives the same samples."""
        version = request.parameter("version", "0")
        wait = request.parameter("wait", str(DEFAULT_WAIT_S))
        if not version.isdigit() or not is_duration(wait):
            detail = "version takes a whole number, wait takes seconds"
            return problem_response(400, "not run", detail)
        if number < 1:
            return problem_response(404, "not run", "steps count from 1")
        began = self.clock.monotonic()
        ledger = TrainerStore(self.platform, trainer.name)
        trainee = await ledger.request_step(number, int(version))
        if isinstance(trainee, Conflict):
            return problem_response(409, "not run", trainee.detail)
        if isinstance(trainee, Unavailable):
            return retry_response(trainee)
        self.driver_manager.wake_driver(trainer.name)
        deadline = began + min(float(wait), MAX_WAIT_S)
        step = await self.wait_for_step(ledger, trainer, number, deadline)
        if isinstance(step, Step):
            return await self.step_response(ledger, trainer, step, began)
        if number <= trainee.sealed and isinstance(step, Missing):
            return problem_response(410, "not run", f"step {number} is no longer kept")
        detail = f"step {number} is not complete yet"
        return problem_response(503, "not run", detail, retry_after=RETRY_AFTER_S)

    async def wait_for_step(
        self, ledger, trainer: Trainer, number: int, deadline: float
    ):
        """Return a step, sealing it as soon as enough groups are ready."""
        while True:
            step = await ledger.read_step(number)
            if isinstance(step, Step):
                return step
            sealed = await ledger.seal_step(
                trainer.groups_per_step, trainer.staleness_bound
            )
            if isinstance(sealed, Step) and sealed.number == number:
                subject = f"{trainer.name}/{number}"
                self.process.recorder.record("sealed", subject, f"for {sealed.version}")
                return sealed
            if isinstance(sealed, Step) and sealed.number > number:
                return Missing()
            left = deadline - self.clock.monotonic()
            if left <= 0:
                return sealed
            await self.driver_manager.wait_until_sealable(
                trainer.name, min(left, SEAL_PERIOD_S)
            )

    async def step_response(
        self, ledger, trainer: Trainer, step: Step, began
    ) -> Response:
        """Return a step's samples."""
        samples = await ledger.read_samples(step)
        if isinstance(samples, Missing):
            return problem_response(
                410, "not run", f"step {step.number} is no longer kept"
            )
        if isinstance(samples, Unavailable):
            return retry_response(samples)
        idle = self.clock.monotonic() - began
        lag = [step.version - sample.oldest for sample in samples]
        self.idle_seconds[trainer.name] = idle
        self.mean_staleness[trainer.name] = sum(lag) / len(lag)
        self.process.metrics.record_duration("trainer_idle", idle, trainer=trainer.name)
        self.process.recorder.record("delivered", f"{trainer.name}/{step.number}")
        self.process.spawn(ledger.remove_old_step(step.number - 1))
        return json_response(
            200,
            {
                "step": step.number,
                "version": step.version,
                "idle_seconds": round(idle, 6),
                "mean_staleness": sum(lag) / len(lag),
                "samples": [attrs.asdict(sample) for sample in samples],
            },
        )

    async def publish_weights(
        self, trainer: Trainer, version: int, request
    ) -> Response:
        """Publish weights: store them, then name the version to everyone."""
        if not trainer.publishes:
            return problem_response(
                403, "not run", f"{trainer.name} may not publish weights"
            )
        pool, by = trainer.pool, f"trainer {trainer.name}"
        outcome = await self.publisher.publish(pool, version, request.body, by)
        if not isinstance(outcome, Committed):
            return retry_response(outcome)
        return json_response(200, {"pool": pool, "version": version})

    async def show_state(self, trainer: Trainer) -> Response:
        """Tell where a trainer stands."""
        ledger = TrainerStore(self.platform, trainer.name)
        trainee, pairs = await asyncio.gather(ledger.read_state(), ledger.read_groups())
        if isinstance(trainee, Unavailable) or isinstance(pairs, Unavailable):
            return retry_response(Unavailable("the platform is down"))
        groups = [group for _, group in pairs]
        failed = {group.id: group.failed for group in groups if group.failed}
        value = attrs.asdict(trainee)
        del value["row_version"]
        value["ready"] = sum(1 for group in groups if group.is_ready)
        value["open"] = sum(1 for group in groups if group.is_pending)
        return json_response(200, value | {"failed": failed})


def is_duration(text: str) -> bool:
    """Tell whether a text is a number of seconds, at least 0."""
    try:
        return float(text) >= 0
    except ValueError:
        return False


def retry_response(outcome: Unavailable | Unknown) -> Response:
    """Return the answer for an outcome that calls for another try."""
    if isinstance(outcome, Unknown):
        detail = f"{outcome.reason}; the same request again is harmless"
        return problem_response(504, "unknown", detail, retry_after=RETRY_AFTER_S)
    detail = f"the platform cannot be asked: {outcome.reason}"
    return problem_response(503, "not run", detail, retry_after=RETRY_AFTER_S)
