"""Fingerprints: one name for a request, however often and wherever it comes."""

import hashlib

__all__ = ["fingerprint"]

# Bytes of a fingerprint: enough that nobody finds a second request with the same one.
SIZE = 16


def fingerprint(method: str, host: str, target: str, caller: str, body: bytes) -> str:
    """Return a digest that tells neither the body nor what names the caller.

    Parameters
    ----------
    method, host, target : str
        The target holds path and query.
    caller : str
        What names the caller; two that send the same are told apart by it.
    body : bytes

    Returns
    -------
    str
        32 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=SIZE)
    for part in (method, host.lower(), target, caller):
        add(digest, part.encode("utf-8", "surrogatepass"))
    add(digest, body)
    return digest.hexdigest()


def add(digest, part: bytes) -> None:
    """Add a part behind its length, so that parts do not run into each other."""
    digest.update(len(part).to_bytes(8, "big"))
    digest.update(part)
