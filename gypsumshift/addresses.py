"""Addresses: parse IP addresses with ports as written in settings and lists."""

__all__ = ["parse_address"]


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``; raises ValueError for a wrong port."""
    host, _, port = text.rpartition(":")
    return host, int(port)
