"""Fingerprints: a digest of a request that is equal each time the request is sent."""

import hashlib

__all__ = ["fingerprint"]

# Size of a fingerprint: large enough that nobody can construct a collision.
DIGEST_SIZE_BYTES = 16


def fingerprint(method: str, host: str, target: str, caller: str, body: bytes) -> str:
    """Return a digest of a request that reveals neither its body nor its caller.

    Parameters
    ----------
    method, host, target : str
        HTTP method, host name, and target with path and query.
    caller : str
        Identity of the caller, so that equal requests of two callers differ.
    body : bytes

    Returns
    -------
    str
        32 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE_BYTES)
    for part in (method, host.lower(), target, caller):
        add_part(digest, part.encode("utf-8", "surrogatepass"))
    add_part(digest, body)
    return digest.hexdigest()


def add_part(digest, part: bytes) -> None:
    """Add a part preceded by its length, so that the boundaries are unique."""
    digest.update(len(part).to_bytes(8, "big"))
    digest.update(part)
