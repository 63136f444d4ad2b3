"""Rendezvous hashing: processes agree on an order of names for each key."""

import hashlib

__all__ = ["rendezvous_weight"]


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous hash of ``name`` for ``key``; the highest is chosen."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
