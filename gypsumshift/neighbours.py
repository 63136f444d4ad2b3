"""Neighbours: the other processes of the system, as the store's table lists them."""

import math

import attrs

from gypsumshift.addresses import check_address
from gypsumshift.platforms import Row

__all__ = ["NEIGHBOURS_TABLE", "Neighbour", "parse_neighbour"]

# Store table with one entry for each process of the system.
NEIGHBOURS_TABLE = "neighbours"


@attrs.frozen
class Neighbour:
    """Another process of the system.

    Attributes
    ----------
    name : str
    address : (str, int)
        Where the process accepts calls that it relays to the store.
    zone : str
        Availability zone; empty if unknown.
    link : float
        Network bandwidth of its host in Mbit/s; 0 if unknown.
    """

    name: str
    address: tuple[str, int]
    zone: str = ""
    link: float = 0.0


def parse_neighbour(row: Row) -> Neighbour:
    """Decode a row of the table; raises KeyError, TypeError or ValueError."""
    ip, port = row.value["address"]
    check_address(ip, port)
    if not isinstance(row.value["zone"], str):
        raise TypeError("neighbour entry has no valid availability zone")
    link = row.value.get("link", 0.0)
    if type(link) not in (int, float):
        raise TypeError("bandwidth of a neighbour is not a number")
    if not 0 <= link < math.inf:
        raise ValueError("bandwidth of a neighbour is negative or not finite")
    return Neighbour(row.key, (ip, port), row.value["zone"], link)
