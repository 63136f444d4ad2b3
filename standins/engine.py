"""Stand-in for a model engine: continuous batching, prefix cache, weights.

``python -m standins.engine --port 9100 --pool NAME --platform URL``. Faults are
switched on at ``PUT /standin`` with a JSON object of the fields of `Faults`.
"""

import asyncio
import hashlib
import heapq
import itertools
import json
import random
from typing import Annotated

import attrs
import typer

from gypsumshift.addresses import parse_address
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.httpserver import (
    HttpServer,
    Request,
    Response,
    ResponseAborted,
    json_response,
)
from standins.cache import PrefixCache

REPORT_PERIOD_S = 0.5
TOKENS_PER_VERSION = 1000
FIRST_PROMPT_TOKEN_ID = 10**9


@attrs.define
class Faults:
    """Switches.

    Attributes
    ----------
    fail_swaps : int
        Load orders still to be answered 500 without a change.
    half_swaps : int
        Load orders still to be answered 200 without a change.
    late_swaps : float
        Seconds by which the answer to a load order is late.
    slow : float
        Factor on the time of a step.
    break_streams : int
        Streams still to be broken in their middle.
    bare : bool
        Whether tokens come without their weight version.
    """

    fail_swaps: int = 0
    half_swaps: int = 0
    late_swaps: float = 0.0
    slow: float = 1.0
    break_streams: int = 0
    bare: bool = False


@attrs.define(eq=False)
class Sequence:
    """One completion under way."""

    prompt: str
    max_tokens: int
    priority: int
    seed: int
    tokens: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    generated_count: int = 0
    prefill: int = 0
    closed: bool = False
    break_midway: bool = False
    finish_reason: str = "length"
    prompt_ids_sent: bool = False


@attrs.define
class StepTiming:
    """How long a step takes, in seconds.

    Attributes
    ----------
    step : float
        Of any step.
    sequence : float
        More for each sequence in the batch.
    prefill : float
        More for each prompt token that is not cached.
    """

    base_s: float = 0.004
    per_sequence_s: float = 0.0002
    per_prompt_token_s: float = 0.00002


class FakeEngine:
    """A model engine.

    Parameters
    ----------
    pool, dialect : str
    platform : (str, int) or None
        Address of the weight store.
    checks_fencing : bool
    batch : int
        Sequences that run at once.
    cache_blocks : int
        Prompt blocks that the prefix cache holds.
    swap : float
        Seconds that a swap takes beside the download.
    speed : Speed
    """

    def __init__(
        self,
        pool: str,
        dialect: str = "sglang",
        platform=None,
        checks_fencing: bool = False,
        batch: int = 32,
        cache_blocks: int = 4096,
        swap: float = 0.1,
        step_timing: StepTiming | None = None,
    ):
        self.pool = pool
        self.dialect = dialect
        self.platform = platform
        self.checks_fencing = checks_fencing
        self.batch = batch
        self.swap = swap
        self.step_timing = step_timing or StepTiming()
        self.length_sigma = self.length_median = 0.0
        self.rng = random.Random(pool)
        self.version = 0
        self.fence = 0
        self.faults = Faults()
        self.running: list[Sequence] = []
        self.waiting: list = []
        self.arrival_numbers = itertools.count()
        self.cache = PrefixCache(cache_blocks)
        self.generated_count = 0
        self.work_available = asyncio.Event()
        self.swap_lock = asyncio.Lock()
        self.reported_load = (0, 0)
        self.fetcher = Fetcher()
        self.server = HttpServer(self.serve)

    async def run(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        await self.server.listen(host, port)
        await asyncio.gather(self.step_forever(), self.report_forever())

    # Batching

    async def step_forever(self) -> None:
        """Make one token for each running sequence, step by step."""
        while True:
            self.fill_batch()
            if not self.running:
                self.work_available.clear()
                await self.work_available.wait()
                continue
            prefill = sum(sequence.prefill for sequence in self.running)
            took = self.step_timing.base_s + self.step_timing.per_sequence_s * len(
                self.running
            )
            took += self.step_timing.per_prompt_token_s * prefill
            await asyncio.sleep(took * self.faults.slow)
            async with self.swap_lock:
                self.emit_tokens()

    def fill_batch(self) -> None:
        """Admit waiting sequences, the lowest priority number first."""
        self.running = [
            s for s in self.running if not s.closed and s.generated_count < s.max_tokens
        ]
        while self.waiting and len(self.running) < self.batch:
            sequence = heapq.heappop(self.waiting)[2]
            if not sequence.closed:
                sequence.prefill = self.cache.cache_prompt(sequence.prompt)
                self.running.append(sequence)

    def emit_tokens(self) -> None:
        """Make one token for each running sequence."""
        for sequence in self.running:
            sequence.prefill = 0
            chance = random.Random(
                (sequence.seed, sequence.generated_count, self.version).__hash__()
            )
            sequence.generated_count += 1
            self.generated_count += 1
            # A token tells which version made it, for whoever checks the labels.
            token = self.version * TOKENS_PER_VERSION
            token += chance.randrange(TOKENS_PER_VERSION)
            sequence.tokens.put_nowait((token, self.version))

    async def report_forever(self) -> None:
        """Keep the load that is reported, which lags."""
        while True:
            self.reported_load = (len(self.running), len(self.waiting))
            await asyncio.sleep(REPORT_PERIOD_S)

    # HTTP

    async def serve(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/standin":
            return self.serve_faults(request)
        if request.path in ("/v1/completions", "/v1/chat/completions"):
            return await self.serve_completion(request)
        if request.path in ("/reload_weights", "/update_weights_from_disk"):
            return await self.load_weights(request)
        if request.path == "/metrics" and self.dialect == "vllm":
            return Response(200, [("content-type", "text/plain")], self.vllm_metrics())
        if request.path == "/get_server_info" and self.dialect == "sglang":
            return json_response(200, self.sglang_server_info())
        return json_response(404, {"error": "not found"})

    def serve_faults(self, request: Request) -> Response:
        """Switch faults, or show them with some counts."""
        if request.method == "PUT":
            self.faults = Faults(**json.loads(request.body))
        value = attrs.asdict(self.faults)
        cache = self.cache
        counts = {
            "hits": cache.hits,
            "misses": cache.misses,
            "made": self.generated_count,
        }
        return json_response(200, value | counts | {"version": self.version})

    def vllm_metrics(self) -> bytes:
        """Return the load as vLLM's page does."""
        running, waiting = self.reported_load
        return (
            f"vllm:num_requests_running {running}\n"
            f"vllm:num_requests_waiting {waiting}\n"
            f'vllm:weights_info{{weight_version="{self.version}"}} 1\n'
        ).encode()

    def sglang_server_info(self) -> dict:
        """Return the load as SGLang's page does."""
        running, waiting = self.reported_load
        state = {"num_running_reqs": running, "num_waiting_reqs": waiting}
        return {"internal_states": [state], "weight_version": str(self.version)}

    async def serve_completion(self, request: Request) -> Response:
        """Answer a completion, streamed or not."""
        try:
            sequence = self.make_sequence(json.loads(request.body))
        except (ValueError, KeyError, TypeError, AttributeError):
            return json_response(400, {"error": "not a completion request"})
        if self.faults.break_streams > 0:
            self.faults.break_streams -= 1
            sequence.break_midway = True
        key = (sequence.priority, next(self.arrival_numbers), sequence)
        heapq.heappush(self.waiting, key)
        self.work_available.set()
        chat = "chat" in request.path
        if json.loads(request.body).get("stream"):
            headers = [("content-type", "text/event-stream")]
            return Response(200, headers, self.stream_completion(sequence, chat))
        return await self.collect_completion(sequence, chat)

    def make_sequence(self, value: dict) -> Sequence:
        """Return the sequence that a request asks for.

        A prompt may be a list of token ids, of the prompt and of what was generated
        before: then the rest of the same completion is made.
        """
        prompt, generated = value.get("prompt"), 0
        if prompt is None:
            prompt = " ".join(m["content"] for m in value["messages"])
        if isinstance(prompt, list):
            generated = sum(1 for token in prompt if token < FIRST_PROMPT_TOKEN_ID)
            prompt = " ".join(map(str, prompt))
        most = int(value.get("max_tokens", 16))
        priority = int(value.get("priority", 0))
        sequence = Sequence(prompt, most, priority, random.getrandbits(60))
        if self.length_sigma and value.get("return_token_ids"):
            length = self.rng.lognormvariate(0, self.length_sigma)
            left = max(1, int(length * self.length_median) - generated)
            if left < most:
                sequence.max_tokens, sequence.finish_reason = left, "stop"
        return sequence

    async def stream_completion(self, sequence: Sequence, chat: bool):
        """Yield a completion as events."""
        try:
            while (
                sequence.generated_count < sequence.max_tokens
                or not sequence.tokens.empty()
            ):
                token, version = await sequence.tokens.get()
                last = (
                    sequence.generated_count >= sequence.max_tokens
                    and sequence.tokens.empty()
                )
                if (
                    sequence.break_midway
                    and sequence.generated_count > sequence.max_tokens // 2
                ):
                    raise ResponseAborted("told to break")
                event = self.make_event(
                    token, version, last, chat, sequence.finish_reason
                )
                if not sequence.prompt_ids_sent:
                    sequence.prompt_ids_sent = True
                    words = len(sequence.prompt.split())
                    ids = [FIRST_PROMPT_TOKEN_ID + place for place in range(words)]
                    event["choices"][0]["prompt_token_ids"] = ids
                event["echo"] = prompt_digest(sequence.prompt)
                yield b"data: " + json.dumps(event).encode() + b"\n\n"
            yield b"data: [DONE]\n\n"
        finally:
            sequence.closed = True

    async def collect_completion(self, sequence: Sequence, chat: bool) -> Response:
        """Return a completion as a whole."""
        words = []
        try:
            while len(words) < sequence.max_tokens:
                token, version = await sequence.tokens.get()
                words.append(f"w{token}")
        finally:
            sequence.closed = True
        event = self.make_event(0, version, True, chat)
        text = " ".join(words)
        if chat:
            event["choices"][0]["message"] = {"role": "assistant", "content": text}
        else:
            event["choices"][0]["text"] = text
        event["usage"] = {"completion_tokens": len(words)}
        event["echo"] = prompt_digest(sequence.prompt)
        return json_response(200, event)

    def make_event(self, token, version, last, chat, ends="stop") -> dict:
        """Return one event in the vendor's manner."""
        choice = {"index": 0, "token_ids": [token]}
        choice["finish_reason"] = ends if last else None
        if chat:
            choice["delta"] = {"content": f"w{token} "}
        else:
            choice["text"] = f"w{token} "
        event = {"object": "text_completion", "model": self.pool, "choices": [choice]}
        if self.faults.bare:
            return event
        if self.dialect == "vllm":
            event["system_fingerprint"] = f"weights-{version}"
        else:
            event["metadata"] = {"weight_version": str(version)}
        return event

    # Weights

    async def load_weights(self, request: Request) -> Response:
        """Load a version on order; running sequences go on with it."""
        fence = int(request.header("fencing-number", "0"))
        if self.checks_fencing and fence < self.fence:
            return json_response(409, {"error": f"fencing number below {self.fence}"})
        self.fence = max(self.fence, fence)
        version = int(json.loads(request.body)["weight_version"])
        if self.faults.fail_swaps > 0:
            self.faults.fail_swaps -= 1
            return json_response(500, {"error": "told to fail"})
        if not await self.download(version):
            return json_response(500, {"error": f"no weights of version {version}"})
        if self.faults.half_swaps > 0:
            self.faults.half_swaps -= 1
            return json_response(200, {"success": True})
        async with self.swap_lock:
            await asyncio.sleep(self.swap)
            self.version = version
            self.cache.clear()
        if self.faults.late_swaps:
            await asyncio.sleep(self.faults.late_swaps)
        return json_response(200, {"success": True})

    async def download(self, version: int) -> bool:
        """Fetch the weights from the store, at its limited rate."""
        if self.platform is None:
            return True
        target = f"/weights/{self.pool}/{version}"
        try:
            answer = await self.fetcher.fetch(
                self.platform, "GET", target, timeout=60.0
            )
        except FetchError:
            return False
        return answer.status == 200


def prompt_digest(prompt: str) -> str:
    """Return a digest of a prompt, by which its answer is recognized."""
    return hashlib.md5(prompt.encode()).hexdigest()[:12]


def main(
    port: int,
    pool: str,
    host: str = "127.0.0.1",
    dialect: str = "sglang",
    platform: Annotated[str, typer.Option(help="IP number:port.")] = "",
    checks_fencing: bool = False,
    batch: int = 32,
    cache_blocks: int = 4096,
    swap: float = 0.1,
    step: float = 0.004,
    length_median: Annotated[float, typer.Option(help="Tokens of a sample.")] = 0.0,
    length_sigma: Annotated[float, typer.Option(help="Of the log-normal.")] = 0.0,
) -> None:
    """Run a stand-in for a model engine."""
    address = parse_address(platform) if platform else None
    engine = FakeEngine(
        pool,
        dialect,
        address,
        checks_fencing,
        batch,
        cache_blocks,
        swap,
        StepTiming(step),
    )
    engine.length_median, engine.length_sigma = length_median, length_sigma
    asyncio.run(engine.run(host, port))


if __name__ == "__main__":
    typer.run(main)
