"""Addresses: parse IP addresses with ports as written in settings and lists."""

import ipaddress

__all__ = ["check_address", "parse_address"]

MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``; raises ValueError for a wrong port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def check_address(ip: object, port: object) -> None:
    """Raise ValueError unless these are an IPv4 address and a port to connect to."""
    if not isinstance(ip, str):
        raise ValueError(f"not an IP address: {ip!r:.80}")
    ipaddress.IPv4Address(ip)
    if type(port) is not int or not 0 < port <= MAX_PORT:
        raise ValueError(f"port out of range: {port!r:.80}")
