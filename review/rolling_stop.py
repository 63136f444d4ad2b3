"""Small deployment of the project's programs for cases about planned stops.

The programs run as separate processes with the commands of the deploy file, the store,
the cloud API and the workers are stand-ins, and every address is a loopback address.
"""

import asyncio
import os
import pathlib
import time

from soak.deployment import NEIGHBOUR_PORT, Deployment, Process
from standins.users_documents import HOST, settings_text

__all__ = [
    "GRACE_S",
    "Record",
    "StoppedDeployment",
    "is_troubled",
    "read_answer",
    "request_bytes",
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Bounds of the small deployments (SYSTEM.md, "Bounds").
GRACE_S = 8.0
# Commands of the deploy file, by kind of process.
COMMANDS = {
    "gateway": ["python3", "platform/main.py", "gateway"],
    "agent": ["python3", "platform/main.py", "agent"],
}


def is_troubled() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines with times, kept for ``record.txt``.

    Parameters
    ----------
    file : pathlib.Path
    """

    def __init__(self, file: pathlib.Path):
        self.file = file
        self.began = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self.file.write_text("\n".join(self.lines) + "\n")


class StoppedDeployment(Deployment):
    """Deployment whose own programs have the commands of the deploy file."""

    async def add_node(self, name: str, fields: dict[str, object]) -> Process:
        """Add and start one of the project's own programs."""
        ip = self.next_ip()
        for key, value in fields.items():
            if key.startswith("listen"):
                fields[key] = f"{ip}:{value}"
        fields["port_range"] = f"{NEIGHBOUR_PORT},{NEIGHBOUR_PORT}"
        fields["bounds.grace_s"] = GRACE_S
        settings = self.folder / f"{name}.conf"
        settings.write_text(settings_text(name, ip, self.store_address, **fields))
        environment = {
            "GYPSUMSHIFT_NODE_FILE": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        command = COMMANDS[name.partition("-")[0]]
        log = self.folder / f"{name}.log"
        process = Process(name, ip, command, environment, log)
        self.processes.append(process)
        await process.start()
        return process


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Return status, body and whether an answer is complete.

    The status is 0 if the connection ended before a whole head.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, b"", False
    status = int(head.split()[1])
    fields = dict(
        line.lower().split(b":", 1) for line in head.split(b"\r\n")[1:] if b":" in line
    )
    body = b""
    try:
        if b"chunked" not in fields.get(b"transfer-encoding", b""):
            length = int(fields.get(b"content-length", b"0"))
            return status, await reader.readexactly(length), True
        while True:
            size = int((await reader.readline()).strip() or b"-1", 16)
            if size < 0:
                return status, body, False
            data = await reader.readexactly(size + 2)
            if not size:
                return status, body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, body, False


def request_bytes(target: str, request_id: str, deadline_ms: int, body: bytes) -> bytes:
    """Return a request with a body of known length."""
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
