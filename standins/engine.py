"""Fake model engine with continuous batching, a prefix cache and weight loading.

``python -m standins.engine --port 9100 --pool NAME --platform URL``. Faults are
set at ``PUT /standin`` with a JSON object of the fields of `Faults`.
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
# The id of a generated token divided by this is the weight version that made it.
TOKENS_PER_VERSION = 1000
# Prompt tokens have ids from here on; ids below are of generated tokens.
FIRST_PROMPT_TOKEN_ID = 10**9


@attrs.define
class Faults:
    """Faults to inject.

    Attributes
    ----------
    fail_swaps : int
        Number of load orders still to answer with 500 without loading weights.
    half_swaps : int
        Number of load orders still to answer with 200 without loading weights.
    late_swaps : float
        Delay of the answer to a load order, in seconds.
    slow : float
        Factor on the duration of a step.
    break_streams : int
        Number of streams still to abort midway.
    bare : bool
        Whether to omit the weight version from events.
    """

    fail_swaps: int = 0
    half_swaps: int = 0
    late_swaps: float = 0.0
    slow: float = 1.0
    break_streams: int = 0
    bare: bool = False


@attrs.define(eq=False)
class Sequence:
    """A completion that is queued or being generated.

    Attributes
    ----------
    prompt : str
    max_tokens, priority, seed : int
    tokens : asyncio.Queue
        Generated token ids with their weight versions, not sent yet.
    generated_count : int
    prefill : int
        Uncached prompt tokens to process in the next step.
    closed : bool
        Whether the request has ended, completed or not.
    break_midway : bool
        Whether to abort the stream after half of its tokens.
    finish_reason : str
    prompt_ids_sent : bool
    """

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
    """Duration of a step of the batch, in seconds.

    Attributes
    ----------
    base_s : float
        Duration of a step without sequences.
    per_sequence_s : float
        Additional time for each sequence in the batch.
    per_prompt_token_s : float
        Additional time for each prompt token that is not cached.
    """

    base_s: float = 0.004
    per_sequence_s: float = 0.0002
    per_prompt_token_s: float = 0.00002


class FakeEngine:
    """A fake model engine.

    Parameters
    ----------
    pool : str
    dialect : str
        API to imitate, "vllm" or "sglang".
    platform : (str, int) or None
        Address of the weight store.
    checks_fencing : bool
        Whether load orders with a lower fencing number than before are rejected.
    batch : int
        Maximum number of sequences that run concurrently.
    cache_blocks : int
        Maximum number of blocks in the prefix cache.
    swap : float
        Duration of a weight swap without the download, in seconds.
    step_timing : StepTiming or None
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
        """Run steps as long as there are sequences, and wait for new ones otherwise."""
        while True:
            self.fill_batch()
            if not self.running:
                self.work_available.clear()
                await self.work_available.wait()
                continue
            prefill = sum(sequence.prefill for sequence in self.running)
            duration = self.step_timing.base_s + (
                self.step_timing.per_sequence_s * len(self.running)
            )
            duration += self.step_timing.per_prompt_token_s * prefill
            await asyncio.sleep(duration * self.faults.slow)
            async with self.swap_lock:
                self.emit_tokens()

    def fill_batch(self) -> None:
        """Remove ended sequences, admit waiting ones, lowest priority number first."""
        self.running = [
            s for s in self.running if not s.closed and s.generated_count < s.max_tokens
        ]
        while self.waiting and len(self.running) < self.batch:
            sequence = heapq.heappop(self.waiting)[2]
            if not sequence.closed:
                sequence.prefill = self.cache.cache_prompt(sequence.prompt)
                self.running.append(sequence)

    def emit_tokens(self) -> None:
        """Generate one token for each running sequence."""
        for sequence in self.running:
            sequence.prefill = 0
            rng = random.Random(
                (sequence.seed, sequence.generated_count, self.version).__hash__()
            )
            sequence.generated_count += 1
            self.generated_count += 1
            # The token id contains the weight version, so that tests can check whether
            # the version that labels a token is right.
            token = self.version * TOKENS_PER_VERSION
            token += rng.randrange(TOKENS_PER_VERSION)
            sequence.tokens.put_nowait((token, self.version))

    async def report_forever(self) -> None:
        """Update the reported load periodically; it lags behind the actual load."""
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
        """Set faults on PUT; return them with counts and the weight version."""
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
        """Return load and weight version in the format of vLLM's metrics."""
        running, waiting = self.reported_load
        return (
            f"vllm:num_requests_running {running}\n"
            f"vllm:num_requests_waiting {waiting}\n"
            f'vllm:weights_info{{weight_version="{self.version}"}} 1\n'
        ).encode()

    def sglang_server_info(self) -> dict:
        """Return load and weight version in the format of SGLang's server info."""
        running, waiting = self.reported_load
        state = {"num_running_reqs": running, "num_waiting_reqs": waiting}
        return {"internal_states": [state], "weight_version": str(self.version)}

    async def serve_completion(self, request: Request) -> Response:
        """Queue a completion and answer it, streamed or as a whole."""
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
        """Return the sequence for the body of a completion request.

        A prompt may be a list of token ids, those of the prompt followed by those
        generated earlier: the completion is then continued, and its length counts the
        earlier tokens.
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
        """Yield the events of a streamed completion."""
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
                    raise ResponseAborted("stream aborted by fault break_streams")
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
        """Return a completion that is not streamed."""
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
        """Return one event in the format of the dialect."""
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
        """Load the ordered weight version; running sequences continue with it."""
        fence = int(request.header("fencing-number", "0"))
        if self.checks_fencing and fence < self.fence:
            return json_response(409, {"error": f"fencing number below {self.fence}"})
        self.fence = max(self.fence, fence)
        version = int(json.loads(request.body)["weight_version"])
        if self.faults.fail_swaps > 0:
            self.faults.fail_swaps -= 1
            return json_response(500, {"error": "weights not loaded: fault fail_swaps"})
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
        """Fetch weights from the weight store; return whether that succeeded."""
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
    """Return a digest of a prompt, which is repeated in its answer."""
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
    """Run a fake model engine."""
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
