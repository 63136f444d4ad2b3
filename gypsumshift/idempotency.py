"""Requests with idempotency keys: each runs at most once per key.

Each key has one row in the table service. The row is claimed for one attempt at one
sidecar before anything is sent. Another attempt replaces the claim only after that
sidecar has barred the first attempt, which means that it never starts there. If the
state of the first attempt cannot be determined, the outcome is "unknown".
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
# Larger response bodies are stored as objects instead of in the key's row.
MAX_INLINE_BODY_BYTES = 16 * 1024
MAX_ATTEMPTS = 8
MAX_CLAIM_TRIES = 4
MAX_STORE_TRIES = 120
STORE_RETRY_S = 1.0

log = logs.logger("keys")


@attrs.frozen
class KeyMismatch:
    """The key was used before with a different request."""


@attrs.frozen
class ReplayedAnswer:
    """The response to an earlier request with the same key.

    Attributes
    ----------
    whole : CompleteAnswer
    """

    whole: CompleteAnswer


@attrs.frozen
class KeyClaim:
    """The attempt and the sidecar to which a key is assigned.

    Attributes
    ----------
    digest : str
        Digest of the request, to detect a key that is reused for another request.
    attempt : str
    backend : str
    address : str
        Peer address of the sidecar.
    incarnation : int
        Incarnation of the sidecar.
    time : str
        Time of the claim, for operators and the removal of old rows.
    """

    digest: str
    attempt: str
    backend: str
    address: str
    incarnation: int
    time: str


def request_digest(request: PoolRequest) -> str:
    """Return a digest of a request's method, target and body."""
    parts = (request.method.encode(), request.target.encode(), request.body)
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def row_key(workspace: str, key: str) -> str:
    """Return the key of the row that stores the state of a caller's key."""
    return f"{workspace}/{hashlib.sha256(key.encode()).hexdigest()}"


class IdempotentRunner:
    """Runs requests with idempotency keys at most once each, whichever entry gets them.

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

    async def run_once(self, key: str, request: PoolRequest):
        """Run a request, or return the outcome of an earlier request with the key.

        Returns
        -------
        CompleteAnswer, ReplayedAnswer, KeyMismatch, NotRun or Unknown
        """
        stored_key = row_key(request.workspace, key)
        digest = request_digest(request)
        row: Row | None = None
        refusal = Refusal(f"no backend server of {request.pool} is known here", 1.0)
        for _ in range(MAX_ATTEMPTS):
            request.follow()
            sidecar = self.dispatcher.router(request.pool).choose_sidecar(
                request.avoid, request_class=request.request_class
            )
            if sidecar is None or request.deadline <= self.clock.monotonic():
                break
            claim = self.new_claim(sidecar, digest)
            stored_row = await self.claim_key(stored_key, claim, row)
            if stored_row is None:
                return self.undecided_outcome(request)
            if stored_row.value["digest"] != digest:
                return KeyMismatch()
            if stored_row.value["attempt"] == claim.attempt:
                result = await self.run_claimed_attempt(
                    stored_key, claim, sidecar, request
                )
            else:
                result = await self.inspect_claim(stored_row, request)
            if not isinstance(result, Refusal):
                return result
            row, refusal = stored_row, result
        return await self.final_outcome(stored_key, request, refusal)

    def undecided_outcome(self, request: PoolRequest) -> NotRun | Unknown:
        """Return the outcome of a request whose key the platform could not look up.

        Nothing was sent by this call, but an earlier request with the key may have
        run. It is "not run" only if the caller states that the key is new.
        """
        if request.fresh_key:
            return not_run_outcome(
                Refusal("the platform did not answer a query for the key", 1.0)
            )
        return Unknown(
            "the platform did not answer whether a request with this key has run"
        )

    async def final_outcome(
        self, stored_key: str, request: PoolRequest, refusal: Refusal
    ):
        """Return the outcome after the last attempt, by the state of the key's row."""
        row = await self.tables.read(KEYS_TABLE, stored_key)
        if isinstance(row, Unavailable):
            return self.undecided_outcome(request)
        if isinstance(row, Missing):
            return not_run_outcome(refusal)
        result = await self.inspect_claim(row, request)
        return not_run_outcome(refusal) if isinstance(result, Refusal) else result

    def new_claim(self, sidecar: Peer, digest: str) -> KeyClaim:
        """Return a claim of a new attempt at a sidecar."""
        host, port = sidecar.address
        return KeyClaim(
            digest=digest,
            attempt=new_attempt_name(last_mark(sidecar)),
            backend=sidecar.member.backend,
            address=f"{host}:{port}",
            incarnation=sidecar.member.incarnation,
            time=self.clock.now().isoformat(timespec="seconds"),
        )

    async def claim_key(
        self, stored_key: str, claim: KeyClaim, row: Row | None
    ) -> Row | None:
        """Claim a key if it is unclaimed or its row is still ``row``.

        Parameters
        ----------
        stored_key : str
            Key of the row.
        claim : KeyClaim
        row : Row or None
            Row of an attempt that was refused or barred, to be replaced.

        Returns
        -------
        Row or None
            The row that is stored now, with this claim or another one; None if the
            platform does not answer.
        """
        expected = ABSENT if row is None else row.version
        value = attrs.asdict(claim) | {"state": CLAIMED}
        for _ in range(MAX_CLAIM_TRIES):
            write = Write(KEYS_TABLE, stored_key, value, expected)
            outcome = await self.tables.commit([write])
            if isinstance(outcome, Committed):
                return Row(KEYS_TABLE, stored_key, expected + 1, value)
            if isinstance(outcome, Unavailable):
                return None
            found = await self.tables.read(KEYS_TABLE, stored_key)
            if isinstance(found, Unavailable):
                return None
            if isinstance(found, Missing):
                expected = ABSENT
            elif found.version != expected:
                return found
        return None

    async def run_claimed_attempt(
        self, stored_key: str, claim: KeyClaim, sidecar: Peer, request: PoolRequest
    ):
        """Run a claimed attempt and store its answer in the background."""
        request.avoid.add(sidecar.member.name)
        result = await self.dispatcher.run_attempt(request, sidecar, claim.attempt)
        if isinstance(result, LostAttempt):
            result = await self.dispatcher.resolve_lost_attempt(
                request, sidecar, result
            )
        if isinstance(result, CompleteAnswer):
            self.dispatcher.process.spawn(self.store_answer(stored_key, claim, result))
        return result

    async def inspect_claim(self, row: Row, request: PoolRequest):
        """Determine the outcome of the attempt that claimed a key.

        If it has not started, it is barred at its sidecar, so that it never starts.

        Returns
        -------
        ReplayedAnswer, Unknown, or a Refusal if it has not run and never will
        """
        if row.value["state"] == DONE:
            return await self.replay_answer(row)
        reply = await self.dispatcher.await_final_state(
            parse_address(row.value["address"]),
            row.value["incarnation"],
            row.value["attempt"],
            request.deadline,
        )
        if reply.state == AttemptState.NEVER:
            return Refusal("the previous attempt with this key was barred", 0.2)
        if reply.state == AttemptState.DONE:
            return ReplayedAnswer(
                CompleteAnswer(reply.head, reply.body, row.value["backend"])
            )
        if reply.state == AttemptState.RUNNING:
            return Unknown("the request with this key is still running")
        return await self.reread_claim(row)

    async def reread_claim(self, row: Row):
        """Read the row again, as the answer may have been stored in the meantime."""
        found = await self.tables.read(row.table, row.key)
        if isinstance(found, Row) and found.value["state"] == DONE:
            return await self.replay_answer(found)
        return Unknown(
            f"the sidecar of {row.value['backend']} that was sent the request with this"
            " key does not report its outcome"
        )

    async def store_answer(
        self, stored_key: str, claim: KeyClaim, answer: CompleteAnswer
    ) -> None:
        """Store the answer of a key; retry while the platform does not answer."""
        value = attrs.asdict(claim) | {"state": DONE, "status": answer.head.status}
        value["headers"] = [
            [header.name.decode("latin-1"), header.value.decode("latin-1")]
            for header in answer.head.headers
        ]
        for _ in range(MAX_STORE_TRIES):
            if await self.try_store_answer(stored_key, claim, answer, value):
                return
            await self.clock.sleep(STORE_RETRY_S)
        log.warning(
            "The answer of attempt {} could not be stored in {} tries;"
            " it cannot be replayed after its sidecar ends.",
            claim.attempt,
            MAX_STORE_TRIES,
        )

    async def try_store_answer(
        self, stored_key: str, claim: KeyClaim, answer: CompleteAnswer, value
    ) -> bool:
        """Try once to store an answer; return whether no further try is needed.

        No try is needed if the row no longer belongs to the attempt.
        """
        if len(answer.body) <= MAX_INLINE_BODY_BYTES:
            value["body"] = base64.b64encode(answer.body).decode()
        else:
            name = f"answers/{claim.attempt}"
            put = await self.objects.put(name, answer.body)
            if not isinstance(put, (Committed, Conflict)):
                return False
            value["object"] = name
        row = await self.tables.read(KEYS_TABLE, stored_key)
        if isinstance(row, Unavailable):
            return False
        if isinstance(row, Missing) or row.value["attempt"] != claim.attempt:
            return True
        outcome = await self.tables.commit(
            [Write(KEYS_TABLE, stored_key, value, row.version)]
        )
        return isinstance(outcome, Committed)

    async def replay_answer(self, row: Row):
        """Return the answer that is stored in a row."""
        value = row.value
        if "object" in value:
            body = await self.objects.get(value["object"])
            if not isinstance(body, bytes):
                return Unknown(
                    "the request has run, but its stored answer cannot be read now"
                )
        else:
            body = base64.b64decode(value["body"])
        headers = [
            Header(name.encode("latin-1"), text.encode("latin-1"))
            for name, text in value["headers"]
        ]
        return ReplayedAnswer(
            CompleteAnswer(Head(value["status"], headers), body, value["backend"])
        )
