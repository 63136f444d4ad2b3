"""HTTP API with which trainers submit groups, pull steps and publish weights."""

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
    """Handles the requests of trainers.

    All state is in the platform's services, so any entry can handle any request.

    Parameters
    ----------
    process : Process
    driver_manager : DriverManager
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
        """Handle one request of a trainer.

        Parameters
        ----------
        request : Request
        workspace : str
        rest : str
            Part of the path after ``/trainers/``.
        """
        name, _, what = rest.partition("/")
        trainer = self.process.active_revision.catalog.trainers.get(name)
        if trainer is None or trainer.workspace != workspace:
            return problem_response(
                404, "not run", f"workspace {workspace} has no trainer {name!r}"
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
            404, "not run", f"no trainer resource for {request.method} {what!r}"
        )

    async def submit_groups(self, trainer: Trainer, request: Request) -> Response:
        """Store the groups in the request's body, each once per id."""
        try:
            value = json.loads(request.body)
        except ValueError as error:
            return problem_response(400, "not run", f"body is not valid JSON: {error}")
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
        """Return a step's samples, waiting until it is complete or the wait expires.

        The same number always gives the same samples.
        """
        version = request.parameter("version", "0")
        wait = request.parameter("wait", str(DEFAULT_WAIT_S))
        if not version.isdigit() or not is_duration(wait):
            detail = (
                f"version must be a whole number, got {version!r};"
                f" wait must be seconds, at least 0, got {wait!r}"
            )
            return problem_response(400, "not run", detail)
        if number < 1:
            return problem_response(
                404, "not run", f"step {number} does not exist; the first step is 1"
            )
        began = self.clock.monotonic()
        store = TrainerStore(self.platform, trainer.name)
        state = await store.request_step(number, int(version))
        if isinstance(state, Conflict):
            return problem_response(409, "not run", state.detail)
        if isinstance(state, Unavailable):
            return retry_response(state)
        self.driver_manager.wake_driver(trainer.name)
        deadline = began + min(float(wait), MAX_WAIT_S)
        step = await self.wait_for_step(store, trainer, number, deadline)
        if isinstance(step, Step):
            return await self.step_response(store, trainer, step, began)
        if number <= state.sealed and isinstance(step, Missing):
            return problem_response(
                410, "not run", f"step {number} is no longer stored"
            )
        detail = f"step {number} was not complete within the wait"
        return problem_response(503, "not run", detail, retry_after=RETRY_AFTER_S)

    async def wait_for_step(
        self, store, trainer: Trainer, number: int, deadline: float
    ):
        """Return a step, sealing it as soon as enough groups are ready.

        Missing or the failure of the last try is returned at the deadline; Missing at
        once if the step is no longer stored.
        """
        while True:
            step = await store.read_step(number)
            if isinstance(step, Step):
                return step
            sealed = await store.seal_step(
                trainer.groups_per_step, trainer.staleness_bound
            )
            if isinstance(sealed, Step) and sealed.number == number:
                subject = f"{trainer.name}/{number}"
                self.process.recorder.record("sealed", subject, f"for {sealed.version}")
                return sealed
            if isinstance(sealed, Step) and sealed.number > number:
                return Missing()
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0:
                return sealed
            await self.driver_manager.wait_until_sealable(
                trainer.name, min(remaining, SEAL_PERIOD_S)
            )

    async def step_response(
        self, store, trainer: Trainer, step: Step, began
    ) -> Response:
        """Return the response with a step's samples; remove an older step."""
        samples = await store.read_samples(step)
        if isinstance(samples, Missing):
            return problem_response(
                410, "not run", f"step {step.number} is no longer stored"
            )
        if isinstance(samples, Unavailable):
            return retry_response(samples)
        idle = self.clock.monotonic() - began
        lag = [step.version - sample.oldest for sample in samples]
        self.idle_seconds[trainer.name] = idle
        self.mean_staleness[trainer.name] = sum(lag) / len(lag)
        self.process.metrics.record_duration("trainer_idle", idle, trainer=trainer.name)
        self.process.recorder.record("delivered", f"{trainer.name}/{step.number}")
        self.process.spawn(store.remove_old_step(step.number - 1))
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
        """Store the weights in the request's body and announce their version."""
        if not trainer.publishes:
            return problem_response(
                403,
                "not run",
                f"trainer {trainer.name} is declared with publishes: false",
            )
        pool, by = trainer.pool, f"trainer {trainer.name}"
        outcome = await self.publisher.publish(pool, version, request.body, by)
        if not isinstance(outcome, Committed):
            return retry_response(outcome)
        return json_response(200, {"pool": pool, "version": version})

    async def show_state(self, trainer: Trainer) -> Response:
        """Return the trainer's progress, its group counts and its failed groups."""
        store = TrainerStore(self.platform, trainer.name)
        state, pairs = await asyncio.gather(store.read_state(), store.read_groups())
        if isinstance(state, Unavailable) or isinstance(pairs, Unavailable):
            return retry_response(
                Unavailable(f"the state of trainer {trainer.name} could not be read")
            )
        groups = [group for _, group in pairs]
        failed = {group.id: group.failed for group in groups if group.failed}
        value = attrs.asdict(state)
        del value["row_version"]
        value["ready"] = sum(1 for group in groups if group.is_ready)
        value["open"] = sum(1 for group in groups if group.is_pending)
        return json_response(200, value | {"failed": failed})


def is_duration(text: str) -> bool:
    """Return whether a text is a number of seconds, at least 0."""
    try:
        return float(text) >= 0
    except ValueError:
        return False


def retry_response(outcome: Unavailable | Unknown) -> Response:
    """Return the problem response for an outcome after which to try again."""
    if isinstance(outcome, Unknown):
        detail = f"{outcome.reason}; repeating the same request is safe"
        return problem_response(504, "unknown", detail, retry_after=RETRY_AFTER_S)
    detail = f"the platform could not complete the operation: {outcome.reason}"
    return problem_response(503, "not run", detail, retry_after=RETRY_AFTER_S)
