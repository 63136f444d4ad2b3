"""Policy: switches for the optional mechanisms of the system.

All are on unless an operator switches some off to measure what each of them gains in a
deployment. No guarantee depends on them: without them answers come later, but stay
correct.
"""

import attrs

__all__ = [
    "DEFAULT_POLICY",
    "ENVIRONMENT_VARIABLE",
    "Policy",
    "PolicyError",
    "parse_disabled",
]

# Environment variable with the mechanisms to switch off, separated by commas.
ENVIRONMENT_VARIABLE = "GYPSUMSHIFT_WITHOUT"


class PolicyError(ValueError):
    """The name of a mechanism to switch off is unknown."""


@attrs.frozen
class Policy:
    """Mechanisms that can be switched off one by one.

    Attributes
    ----------
    hedged_writes : bool
        Send a write once more if the store does not answer it (`hedging.py`).
    loads_behind_steps : bool
        Load weights when a training step has begun, not when the next one needs them
        (`jobs/weightloads.py`).
    long_items_to_faster : bool
        Leave long items to the faster engines of a model, or move them there
        (`jobs/claimtracker.py`, `jobs/agent.py`).
    slow_engines_short_items : bool
        Assign engines with slower hardware to the model of the shortest items
        (`jobs/placement.py`).
    settled_models : bool
        Keep an engine assigned to its model as long as the load stays balanced
        (`jobs/placement.py`).
    slow_handover : bool
        Hand over all work of an engine that has become slow (`jobs/pace.py`).
    engine_states : bool
        Find faulty engines by their own usual pace, so that slower builds and busy
        neighbours are no faults (`jobs/enginestate.py`). Without it, the median of
        all engines decides.
    expected_end : bool
        Assign and migrate items by their expected end at engines of different pace
        (`jobs/assignment.py`, `jobs/unitmigrator.py`).
    saved_runs : bool
        Save the partial results of long runs each second (`jobs/partials.py`).
    store_through_neighbours : bool
        Call the store through another host if it does not answer directly
        (`storepath.py`).
    second_server : bool
        Send a request to a second server if the first does not answer
        (`serving/forwarder.py`).
    ejection : bool
        Avoid failing servers for a while (`serving/loadbalancer.py`).
    shared_sight : bool
        Exchange observations of servers between processes (`gossip.py`).
    shared_rereads : bool
        Let one process of a zone read a whole table for the others
        (`sharedreads.py`).
    byte_budget : bool
        Limit the bytes that a process buffers and those outstanding at a server
        (`bytebudget.py`).
    workspace_shares : bool
        Divide the engines between workspaces while their steps need more than the
        engines can do (`jobs/engineshares.py`).
    service_admission : bool
        Divide the capacity of a service that is too small by priority and workspace,
        and refuse calls that cannot be served in time
        (`serving/serviceadmission.py`).
    """

    hedged_writes: bool = True
    loads_behind_steps: bool = True
    long_items_to_faster: bool = True
    slow_engines_short_items: bool = True
    settled_models: bool = True
    slow_handover: bool = True
    engine_states: bool = True
    expected_end: bool = True
    saved_runs: bool = True
    store_through_neighbours: bool = True
    second_server: bool = True
    ejection: bool = True
    shared_sight: bool = True
    shared_rereads: bool = True
    byte_budget: bool = True
    workspace_shares: bool = True
    service_admission: bool = True


DEFAULT_POLICY = Policy()


def parse_disabled(text: str) -> Policy:
    """Return the policy with the named mechanisms switched off.

    Parameters
    ----------
    text : str
        Names of mechanisms, separated by commas.

    Raises
    ------
    PolicyError
        If a name is unknown; the message lists the known names.
    """
    named = {name.strip() for name in text.split(",")} - {""}
    known = {field.name for field in attrs.fields(Policy)}
    unknown = sorted(named - known)
    if unknown:
        names = ", ".join(sorted(known))
        raise PolicyError(
            f"{ENVIRONMENT_VARIABLE} contains the unknown mechanism {unknown[0]}; "
            f"known mechanisms: {names}"
        )
    return Policy(**dict.fromkeys(named, False))
