"""Addresses: an IP number and a port, as settings and lists write them."""

__all__ = ["parse_address"]


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP number and port in ``number:port``; raises ValueError."""
    host, _, port = text.rpartition(":")
    return host, int(port)
