"""Mutants: the daemon with one mechanism switched off, to try the checkers.

``python -m history.mutants`` runs each under faults and reports whether its
checker fails, as it must. ``python -m history.mutants NAME --settings FILE`` is
the daemon of one mutant.
"""

import asyncio
import inspect
import os
import sys
import time

__all__ = ["MUTANTS"]

DURATION = 25.0
CALLERS = 12
TRIES = 3
FIRST_SEED = 1
LATE = 8.0


def believe_first():
    """Label all tokens of a stream with the version of its first."""
    from gypsumshift import labels

    inner = labels.Labeller.add_tokens

    def add(self, tokens, version):
        inner(self, tokens, self.spans[0].version if self.spans else version)

    labels.Labeller.add_tokens = add


def skip_staleness():
    """Check the age of samples nowhere."""
    from gypsumshift import trainerdriver, trainerstore

    trainerstore.is_fresh = trainerdriver.is_fresh = lambda group, state, bound: True
    trainerdriver.TrainerDriver.min_version = property(
        lambda self: -(10**9), lambda self, value: None
    )


def keep_sealed_groups():
    """Seal steps without taking their groups off the list."""
    from gypsumshift import trainerstore

    inner = trainerstore.TrainerStore.commit_step

    async def commit_step(self, state, chosen):
        kept = [(_Kept(row), group) for row, group in chosen]
        return await inner(self, state, kept)

    class _Kept:
        """A row whose removal hits another place."""

        def __init__(self, row):
            self.table, self.key, self.version = "nowhere", row.key, None

    trainerstore.TrainerStore.commit_step = commit_step


def accept_short_bodies():
    """Take an answer that ends early for a whole one."""
    from gypsumshift import httpclient

    inner = httpclient.Exchange.next_event

    async def event(self):
        try:
            return await inner(self)
        except httpclient.FetchError:
            return httpclient.h11.EndOfMessage()

    httpclient.Exchange.next_event = event


def lost_is_not_run():
    """Call every request whose fate is unknown "not run"."""
    from gypsumshift import callerapi

    inner = callerapi.problem_response

    def problem(status, outcome, detail, **members):
        if outcome == "unknown":
            return inner(503, "not run", detail, retry_after=1.0)
        return inner(status, outcome, detail, **members)

    callerapi.problem_response = problem


def forget_keys():
    """Take every key for a fresh one."""
    from gypsumshift import idempotency

    async def inspect_row(self, row, job):
        return idempotency.Refusal("forgotten", 0.1)

    idempotency.IdempotentRunner.inspect_claim = inspect_row


def ignore_leaving():
    """Go on taking work while leaving."""
    from gypsumshift import membership, sidecar

    sidecar.Sidecar.start_leaving = lambda self, reason: None
    inner = membership.Membership.sidecars

    def sidecars(self, pool):
        for known in self.peers.values():
            known.member.leaving = False
        return inner(self, pool)

    membership.Membership.sidecars = sidecars


def stop_at_once():
    """Shut down without finishing what runs."""
    from gypsumshift import entry, sidecar

    async def drain(self, deadline):
        self.stopped.set()

    entry.Entry.drain = sidecar.Sidecar.drain = drain


def spread_late():
    """Learn new revisions only long after they were told."""
    from gypsumshift import heartbeats, poller

    pull, read = heartbeats.HeartbeatExchanger.pull_revision, poller.Poller.read_heads

    async def pull_revision(self, link):
        await asyncio.sleep(LATE)
        await pull(self, link)

    async def read_heads(self):
        await asyncio.sleep(LATE)
        await read(self)

    heartbeats.HeartbeatExchanger.pull_revision = pull_revision
    poller.Poller.read_heads = read_heads


MUTANTS = {
    "labels": believe_first,
    "staleness": skip_staleness,
    "exactly-once": keep_sealed_groups,
    "whole-answers": accept_short_bodies,
    "not-run": lost_is_not_run,
    "at-most-once": forget_keys,
    "leaving": ignore_leaving,
    "graceful": stop_at_once,
    "configuration": spread_late,
}


# The faults that bear on a mechanism; all where none are named.
FAULTS = {
    "not-run": ("kill_sidecar", "crash_backend", "service_fault"),
    "leaving": ("drain",),
    "graceful": ("graceful",),
}


def run_daemon(name: str) -> None:
    """Run the daemon of one mutant."""
    MUTANTS[name]()
    from gypsumshift import daemon

    daemon.main()


def is_caught(name: str) -> bool:
    """Run one mutant under faults, on some seeds; return whether it is caught."""
    from history.__main__ import record
    from history.checkers import judge

    daemon = ["history.mutants", name]
    for seed in range(FIRST_SEED, FIRST_SEED + TRIES):
        records = asyncio.run(
            record(seed, DURATION, CALLERS, daemon, FAULTS.get(name, ()))
        )
        findings = {finding.promise: finding for finding in judge(records)}
        if findings[name].violations:
            print(f"    {findings[name].violations[0]}")
            return True
    return False


def main() -> int:
    """Run all mutants, or those in ``ONLY``; return how many were missed."""
    chosen = os.environ.get("ONLY", "").split() or list(MUTANTS)
    missed = 0
    for name in chosen:
        began = time.time()
        caught = is_caught(name)
        missed += not caught
        what = inspect.getdoc(MUTANTS[name])
        verdict = "caught" if caught else "MISSED"
        print(f"{verdict}  {name:14} {what} ({time.time() - began:.0f} s)", flush=True)
    return missed


if __name__ == "__main__":
    if len(sys.argv) > 1:
        run_daemon(sys.argv.pop(1))
    else:
        sys.exit(1 if main() else 0)
