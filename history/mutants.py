"""Mutants of the daemon, each with one mechanism disabled, to test the checkers.

``python -m history.mutants`` runs each mutant under faults and reports whether the
checker of its promise finds a violation, as it must. The environment variable ``ONLY``
selects mutants. ``python -m history.mutants NAME --settings FILE`` runs the daemon of
one mutant.
"""

import asyncio
import inspect
import os
import sys
import time

__all__ = ["MUTANTS"]

DURATION_S = 25.0
CALLERS = 12
SEEDS_PER_MUTANT = 3
FIRST_SEED = 1
REVISION_DELAY_S = 8.0


def label_with_first_version():
    """Label all tokens of a stream with the version of the first one."""
    from gypsumshift import labels

    original = labels.Labeller.add_tokens

    def add_tokens(self, tokens, version):
        original(self, tokens, self.spans[0].version if self.spans else version)

    labels.Labeller.add_tokens = add_tokens


def skip_staleness_checks():
    """Skip all checks of the age of samples."""
    from gypsumshift import trainerdriver, trainerstore

    trainerstore.is_fresh = trainerdriver.is_fresh = lambda group, state, bound: True
    trainerdriver.TrainerDriver.oldest_allowed_version = property(
        lambda self: -(10**9), lambda self, value: None
    )


def keep_sealed_groups():
    """Seal steps without removing their groups from the list."""
    from gypsumshift import trainerstore

    original = trainerstore.TrainerStore.commit_step

    async def commit_step(self, state, chosen):
        kept = [(_KeptRow(row), group) for row, group in chosen]
        return await original(self, state, kept)

    class _KeptRow:
        """A row with another table name, so that its removal has no effect."""

        def __init__(self, row):
            self.table, self.key, self.version = "nowhere", row.key, None

    trainerstore.TrainerStore.commit_step = commit_step


def accept_truncated_bodies():
    """Accept a truncated answer as complete."""
    from gypsumshift import httpclient

    original = httpclient.Exchange.next_event

    async def next_event(self):
        try:
            return await original(self)
        except httpclient.FetchError:
            return httpclient.h11.EndOfMessage()

    httpclient.Exchange.next_event = next_event


def report_unknown_as_not_run():
    """Report requests with unknown outcome as "not run"."""
    from gypsumshift import callerapi

    original = callerapi.problem_response

    def problem_response(status, outcome, detail, **members):
        if outcome == "unknown":
            return original(503, "not run", detail, retry_after=1.0)
        return original(status, outcome, detail, **members)

    callerapi.problem_response = problem_response


def forget_idempotency_keys():
    """Treat each idempotency key as new."""
    from gypsumshift import idempotency

    async def inspect_row(self, row, job):
        return idempotency.Refusal("forgotten", 0.1)

    idempotency.IdempotentRunner.inspect_claim = inspect_row


def ignore_leaving():
    """Keep accepting work while leaving."""
    from gypsumshift import membership, sidecar

    sidecar.Sidecar.start_leaving = lambda self, reason: None
    original = membership.Membership.sidecars

    def sidecars(self, pool):
        for known in self.peers.values():
            known.member.leaving = False
        return original(self, pool)

    membership.Membership.sidecars = sidecars


def stop_without_draining():
    """Shut down without finishing running requests."""
    from gypsumshift import entry, sidecar

    async def drain(self, deadline):
        self.stopped.set()

    entry.Entry.drain = sidecar.Sidecar.drain = drain


def delay_revisions():
    """Delay the reading of new revisions."""
    from gypsumshift import heartbeats, poller

    original_pull, original_read = (
        heartbeats.HeartbeatExchanger.pull_revision,
        poller.Poller.read_heads,
    )

    async def pull_revision(self, link):
        await asyncio.sleep(REVISION_DELAY_S)
        await original_pull(self, link)

    async def read_heads(self):
        await asyncio.sleep(REVISION_DELAY_S)
        await original_read(self)

    heartbeats.HeartbeatExchanger.pull_revision = pull_revision
    poller.Poller.read_heads = read_heads


MUTANTS = {
    "labels": label_with_first_version,
    "staleness": skip_staleness_checks,
    "exactly-once": keep_sealed_groups,
    "whole-answers": accept_truncated_bodies,
    "not-run": report_unknown_as_not_run,
    "at-most-once": forget_idempotency_keys,
    "leaving": ignore_leaving,
    "graceful": stop_without_draining,
    "configuration": delay_revisions,
}


# Faults that can expose a mutant; mutants that are not listed get all faults.
FAULTS_BY_MUTANT = {
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
    """Run one mutant under faults with several seeds; return whether it is caught."""
    from history.__main__ import record_history
    from history.checkers import check_history

    daemon = ["history.mutants", name]
    for seed in range(FIRST_SEED, FIRST_SEED + SEEDS_PER_MUTANT):
        records = asyncio.run(
            record_history(
                seed, DURATION_S, CALLERS, daemon, FAULTS_BY_MUTANT.get(name, ())
            )
        )
        findings = {finding.promise: finding for finding in check_history(records)}
        if findings[name].violations:
            print(f"    {findings[name].violations[0]}")
            return True
    return False


def main() -> int:
    """Run all mutants, or those in ``ONLY``; return the number of missed ones."""
    chosen = os.environ.get("ONLY", "").split() or list(MUTANTS)
    missed = 0
    for name in chosen:
        began = time.time()
        caught = is_caught(name)
        missed += not caught
        description = inspect.getdoc(MUTANTS[name])
        verdict = "caught" if caught else "MISSED"
        print(
            f"{verdict}  {name:14} {description} ({time.time() - began:.0f} s)",
            flush=True,
        )
    return missed


if __name__ == "__main__":
    if len(sys.argv) > 1:
        run_daemon(sys.argv.pop(1))
    else:
        sys.exit(1 if main() else 0)
