"""A refusal that follows a request lost on a reused connection.

Guards against a caller that is told "not run" for a request that a server ran: the
outcome of the first exchange was forgotten once the second one was refused.
"""

from tests.test_broken_connections import ANSWER, Peer, attempt, run_scenario

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nrequest-id: r\r\n%s: 1\r\n"
    b"content-length: 0\r\n\r\n"
)


class FullPeer(Peer):
    """A server that runs a request, breaks its connection, and is full afterwards."""

    async def serve(self, reader, writer):
        while (body := await self.read(reader)) is not None:
            if body in self.runs:
                writer.write(REFUSAL % b"not-run")
                continue
            self.runs.append(body)
            if body == b"lost":
                break
            writer.write(ANSWER % b"r")
        writer.close()


def test_a_refusal_after_a_broken_reused_connection_does_not_count_as_not_run():
    """The server ran the request that arrived first; the caller was told "not run"."""

    async def scenario(sender, server, peer):
        await attempt(sender, server, b"well")
        outcome = await attempt(sender, server, b"lost")
        assert peer.runs == [b"well", b"lost"]
        assert getattr(outcome, "sent", False), outcome

    run_scenario(scenario, FullPeer())
