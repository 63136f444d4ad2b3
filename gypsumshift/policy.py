"""Policy: which of the system's mechanisms are at work.

All are, unless an operator switches some off to see what each is worth to a
deployment. None of them guards a promise: without any, answers come later, not wrong.
"""

import attrs

__all__ = [
    "DEFAULT_POLICY",
    "ENVIRONMENT_VARIABLE",
    "Policy",
    "PolicyError",
    "parse_disabled",
]

# Environment variable that names the mechanisms to switch off, separated by commas.
ENVIRONMENT_VARIABLE = "GYPSUMSHIFT_WITHOUT"


class PolicyError(ValueError):
    """A mechanism that there is not was to be switched off."""


@attrs.frozen
class Policy:
    """Mechanisms that may be switched off one by one.

    Attributes
    ----------
    hedged_writes : bool
        A write that the store does not answer is sent once more (`hedging.py`).
    loads_behind_steps : bool
        Weights load when a step has begun, not when the next one needs them
        (`jobs/placement.py`).
    long_items_to_faster : bool
        Long items are left and given to the faster engines of a model
        (`jobs/claimtracker.py`, `jobs/agent.py`).
    slow_engines_short_items : bool
        Engines that are built slower serve the model of the shortest items
        (`jobs/placement.py`).
    settled_models : bool
        An engine stays with its model while that costs no balance
        (`jobs/placement.py`).
    slow_handover : bool
        An engine that turned slow hands everything over (`jobs/pace.py`).
    saved_runs : bool
        What long runs have generated is saved each second (`jobs/partials.py`).
    store_through_neighbours : bool
        Hosts that the store does not answer call it through others
        (`neighbours.py`).
    second_server : bool
        A second server is asked where the first keeps silent
        (`serving/forwarder.py`).
    ejection : bool
        Servers that fail are avoided for a while (`serving/loadbalancer.py`).
    shared_sight : bool
        Processes tell each other what they saw of servers (`gossip.py`).
    shared_rereads : bool
        One process of a zone reads a whole table for the others (`sharedreads.py`).
    """

    hedged_writes: bool = True
    loads_behind_steps: bool = True
    long_items_to_faster: bool = True
    slow_engines_short_items: bool = True
    settled_models: bool = True
    slow_handover: bool = True
    saved_runs: bool = True
    store_through_neighbours: bool = True
    second_server: bool = True
    ejection: bool = True
    shared_sight: bool = True
    shared_rereads: bool = True


DEFAULT_POLICY = Policy()


def parse_disabled(text: str) -> Policy:
    """Return the policy without the mechanisms that a text names.

    Raises
    ------
    PolicyError
        Saying which name is unknown, and which there are.
    """
    named = {name.strip() for name in text.split(",")} - {""}
    known = {field.name for field in attrs.fields(Policy)}
    unknown = sorted(named - known)
    if unknown:
        there_are = ", ".join(sorted(known))
        raise PolicyError(
            f"{ENVIRONMENT_VARIABLE} names {unknown[0]}; there are {there_are}"
        )
    return Policy(**dict.fromkeys(named, False))
