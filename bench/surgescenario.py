"""What is played in the contention experiment: workspaces, servers and phases."""

from bench.surgecallers import Phase
from bench.surgedeployment import SERVERS
from soak.conditions import Conditions
from standins.users_documents import config, route

__all__ = [
    "ARMS",
    "CONDITIONS",
    "FLOODER",
    "LARGE_BODY_BYTES",
    "LARGE_SHARE",
    "LAST",
    "OBJECTIVE_MS",
    "ONSET_S",
    "SLOWDOWN",
    "TIME_LIMIT_MS",
    "WORKSPACES",
    "make_config",
    "make_phases",
]

# Mechanisms that are switched off, by the name of the arm.
ARMS = {
    "all": "",
    "without admission": "service_admission",
    "without budget": "byte_budget",
}
SLOTS, WORK_MS, QUEUE_LENGTH = 3, 80, 12
# As in the described contended deployment, the objective is some five times the work.
OBJECTIVE_MS, TIME_LIMIT_MS = 400, 3000
FLOODER, LAST = "flood", "last"
# Priorities by workspace; 0 is the highest.
WORKSPACES = {"first": 0, "north": 1, "south": 1, FLOODER: 1, LAST: 2}
CALM_RATE = 12.0
# Requests per second of the flood, as a multiple of what all servers do at usual pace.
FLOOD_FACTOR = 1.5
SLOWDOWN = 4
LARGE_BODY_BYTES, LARGE_SHARE = 800_000, 0.1
# Time in which gateways exchange the demand of the flood.
ONSET_S = 2.0
CONDITIONS = Conditions(
    app_slots=SLOTS, app_work_ms=WORK_MS, app_queue_length=QUEUE_LENGTH
)


def make_config() -> dict:
    """Return the configuration with a key for each workspace."""
    surge = route(
        "surge",
        kind="safe",
        service="app",
        attempts=2,
        slo_ms=OBJECTIVE_MS,
        timeout_ms=TIME_LIMIT_MS,
    )
    keys = {name: [f"key-{name}"] for name in WORKSPACES}
    return config(routes=[surge], workspaces=keys, priorities=WORKSPACES)


def make_phases(quick: bool) -> list[Phase]:
    """Return the phases with the rates of all workspaces."""
    calm_s, lasting_s = (1.5, 3.0) if quick else (4.0, 10.0)
    calm = dict.fromkeys(WORKSPACES, CALM_RATE)
    flood = FLOOD_FACTOR * SERVERS * SLOTS / (WORK_MS / 1000)
    return [
        Phase("calm", calm_s, calm),
        Phase("onset", ONSET_S, calm | {FLOODER: flood}),
        Phase("lasting", lasting_s, calm | {FLOODER: flood}),
        Phase("recovery", calm_s, calm),
    ]
