"""Keys: requests that may not be repeated, each run at most once per key.

A row of the table service owns each key. It is claimed for one attempt at one
sidecar before anything is sent, and handed to another attempt only after that
sidecar has barred the first. Where neither can be told the answer is "unknown".
"""

import base64
import hashlib

import attrs

from gypsumshift import logs
from gypsumshift.addresses import parse_address
from gypsumshift.attemptresults import CompleteAnswer, LostAttempt, Refusal
from gypsumshift.attempts import new_attempt_name
from gypsumshift.clock import Clock
from gypsumshift.dispatch import Dispatcher, PoolRequest, last_mark, not_run_outcome
from gypsumshift.generated.messages import AttemptState, Head, Header
from gypsumshift.membership import Peer
from gypsumshift.outcomes import (
    Committed,
    Conflict,
    Missing,
    NotRun,
    Unavailable,
    Unknown,
)
from gypsumshift.platforms import ABSENT, Platform, Row, Write

__all__ = ["IdempotentRunner", "KeyMismatch", "ReplayedAnswer"]

KEYS_TABLE = "keys"
CLAIMED = "claimed"
DONE = "done"
MAX_INLINE_BODY_BYTES = 16 * 1024
MAX_ATTEMPTS = 8
MAX_CLAIM_TRIES = 4
MAX_STORE_TRIES = 120
STORE_RETRY_S = 1.0

log = logs.logger("keys")


@attrs.frozen
class KeyMismatch:
    """The key came before with another request."""


@attrs.frozen
class ReplayedAnswer:
    """The answer that an earlier request with the same key got.

    Attributes
    ----------
    whole : Whole
    """

    whole: CompleteAnswer


@attrs.frozen
class KeyClaim:
    """Who runs the request of a key.

    Attributes
    ----------
    digest : str
        Of the request, to tell a reused key.
    attempt : str
    backend : str
    address : str
        Peer address of the sidecar.
    incarnation : int
        Of the sidecar.
    time : str
        When it was claimed, for people and the sweeper.
    """

    digest: str
    attempt: str
    backend: str
    address: str
    incarnation: int
    time: str


def request_digest(job: PoolRequest) -> str:
    """Return a digest of what a request asks for."""
    parts = (job.method.encode(), job.target.encode(), job.body)
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def row_key(workspace: str, key: str) -> str:
    """Return the key of the row that owns a caller's key."""
    return f"{workspace}/{hashlib.sha256(key.encode()).hexdigest()}"


class IdempotentRunner:
    """Runs requests with keys, at most once each, through any entry.

    Parameters
    ----------
    platform : Platform
    dispatcher : Dispatcher
    clock : Clock
    """

    def __init__(self, platform: Platform, dispatcher: Dispatcher, clock: Clock):
        self.tables = platform.tables
        self.objects = platform.objects
        self.dispatcher = dispatcher
        self.clock = clock

    async def run_once(self, key: str, job: PoolRequest):
        """Run a request, or tell what became of it.

        Returns
        -------
        Whole, Replayed, Mismatch, NotRun or Unknown
        """
        place = row_key(job.workspace, key)
        digest = request_digest(job)
        row: Row | None = None
        refusal = Refusal(f"no backend server of {job.pool} is known here", 1.0)
        for _ in range(MAX_ATTEMPTS):
            known = self.dispatcher.router(job.pool).choose_sidecar(
                job.avoid, request_class=job.request_class
            )
            if known is None or job.deadline <= self.clock.monotonic():
                break
            claim = self.new_claim(known, digest)
            owner = await self.claim_key(place, claim, row)
            if owner is None:
                return self.undecided_outcome(job)
            if owner.value["digest"] != digest:
                return KeyMismatch()
            if owner.value["attempt"] == claim.attempt:
                result = await self.run_claimed_attempt(place, claim, known, job)
            else:
                result = await self.inspect_claim(owner, job)
            if not isinstance(result, Refusal):
                return result
            row, refusal = owner, result
        return await self.final_outcome(place, job, refusal)

    def undecided_outcome(self, job: PoolRequest) -> NotRun | Unknown:
        """Return the outcome where the platform cannot say who owns the key.

        Nothing was sent now, but only a caller that vouches for a fresh key makes
        that a true "not run".
        """
        if job.fresh_key:
            return not_run_outcome(
                Refusal("the platform cannot be asked for the key", 1.0)
            )
        return Unknown("the platform cannot be asked whether this key has run")

    async def final_outcome(self, place: str, job: PoolRequest, refusal: Refusal):
        """Return the outcome once nothing is left to try."""
        row = await self.tables.read(KEYS_TABLE, place)
        if isinstance(row, Unavailable):
            return self.undecided_outcome(job)
        if isinstance(row, Missing):
            return not_run_outcome(refusal)
        result = await self.inspect_claim(row, job)
        return not_run_outcome(refusal) if isinstance(result, Refusal) else result

    def new_claim(self, known: Peer, digest: str) -> KeyClaim:
        """Return a claim for a new attempt at a sidecar."""
        host, port = known.address
        return KeyClaim(
            digest=digest,
            attempt=new_attempt_name(last_mark(known)),
            backend=known.member.backend,
            address=f"{host}:{port}",
            incarnation=known.member.incarnation,
            time=self.clock.now().isoformat(timespec="seconds"),
        )

    async def claim_key(
        self, place: str, claim: KeyClaim, row: Row | None
    ) -> Row | None:
        """Claim a key, in place of ``row`` where that one was barred.

        Returns
        -------
        Row or None
            Who owns the key now, this claim or another; None where the platform
            cannot be asked.
        """
        expected = ABSENT if row is None else row.version
        value = attrs.asdict(claim) | {"state": CLAIMED}
        for _ in range(MAX_CLAIM_TRIES):
            write = Write(KEYS_TABLE, place, value, expected)
            outcome = await self.tables.commit([write])
            if isinstance(outcome, Committed):
                return Row(KEYS_TABLE, place, expected + 1, value)
            if isinstance(outcome, Unavailable):
                return None
            found = await self.tables.read(KEYS_TABLE, place)
            if isinstance(found, Unavailable):
                return None
            if isinstance(found, Missing):
                expected = ABSENT
            elif found.version != expected:
                return found
        return None

    async def run_claimed_attempt(
        self, place: str, claim: KeyClaim, known: Peer, job: PoolRequest
    ):
        """Run a claimed attempt."""
        job.avoid.add(known.member.name)
        result = await self.dispatcher.run_attempt(job, known, claim.attempt)
        if isinstance(result, LostAttempt):
            result = await self.dispatcher.resolve_lost_attempt(job, known, result)
        if isinstance(result, CompleteAnswer):
            self.dispatcher.process.spawn(self.store_answer(place, claim, result))
        return result

    async def inspect_claim(self, row: Row, job: PoolRequest):
        """Tell what became of the attempt that owns a key; bars it where it can.

        Returns
        -------
        Replayed, Unknown, or a Refusal where it never ran and never will
        """
        if row.value["state"] == DONE:
            return await self.replay_answer(row)
        reply = await self.dispatcher.await_final_state(
            parse_address(row.value["address"]),
            row.value["incarnation"],
            row.value["attempt"],
            job.deadline,
        )
        if reply.state == AttemptState.NEVER:
            return Refusal("the attempt before was barred", 0.2)
        if reply.state == AttemptState.DONE:
            return ReplayedAnswer(
                CompleteAnswer(reply.head, reply.body, row.value["backend"])
            )
        if reply.state == AttemptState.RUNNING:
            return Unknown("the request with this key still runs")
        return await self.reread_claim(row)

    async def reread_claim(self, row: Row):
        """Read the row once more: its answer may have been kept meanwhile."""
        found = await self.tables.read(row.table, row.key)
        if isinstance(found, Row) and found.value["state"] == DONE:
            return await self.replay_answer(found)
        return Unknown("the sidecar that ran the request with this key is gone")

    async def store_answer(
        self, place: str, claim: KeyClaim, whole: CompleteAnswer
    ) -> None:
        """Keep the answer of a key, trying again while the platform is down."""
        value = attrs.asdict(claim) | {"state": DONE, "status": whole.head.status}
        value["headers"] = [
            [header.name.decode("latin-1"), header.value.decode("latin-1")]
            for header in whole.head.headers
        ]
        for _ in range(MAX_STORE_TRIES):
            if await self.try_store_answer(place, claim, whole, value):
                return
            await self.clock.sleep(STORE_RETRY_S)
        log.warning("Gave up keeping the answer of attempt {}.", claim.attempt)

    async def try_store_answer(
        self, place: str, claim: KeyClaim, whole: CompleteAnswer, value
    ) -> bool:
        """Keep an answer once; return whether there is nothing left to do."""
        if len(whole.body) <= MAX_INLINE_BODY_BYTES:
            value["body"] = base64.b64encode(whole.body).decode()
        else:
            name = f"answers/{claim.attempt}"
            put = await self.objects.put(name, whole.body)
            if not isinstance(put, (Committed, Conflict)):
                return False
            value["object"] = name
        row = await self.tables.read(KEYS_TABLE, place)
        if isinstance(row, Unavailable):
            return False
        if isinstance(row, Missing) or row.value["attempt"] != claim.attempt:
            return True
        outcome = await self.tables.commit(
            [Write(KEYS_TABLE, place, value, row.version)]
        )
        return isinstance(outcome, Committed)

    async def replay_answer(self, row: Row):
        """Return the answer kept in a row."""
        value = row.value
        if "object" in value:
            body = await self.objects.get(value["object"])
            if not isinstance(body, bytes):
                return Unknown("the request ran; its answer cannot be read now")
        else:
            body = base64.b64decode(value["body"])
        headers = [
            Header(name.encode("latin-1"), text.encode("latin-1"))
            for name, text in value["headers"]
        ]
        return ReplayedAnswer(
            CompleteAnswer(Head(value["status"], headers), body, value["backend"])
        )
