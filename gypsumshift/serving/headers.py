"""Names of the header fields between callers and backend servers."""

from collections.abc import Callable

import attrs

from gypsumshift.serving.serverload import ServerLoad

__all__ = ["HOP_BY_HOP", "HeaderNames"]

# Fields that apply to a single connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@attrs.frozen
class HeaderNames:
    """Names of the header fields, in lower case.

    Attributes
    ----------
    request_id : str
        Id of one attempt of a caller; servers echo it.
    time_left : str
        Milliseconds that the sender will wait for the answer.
    expected_server : str
        Id of the only server that may run the request.
    last_event : str
        Number of the last event of a stream that the sender has received.
    signature : str
        Added to each answer by the server that made it.
    not_run : str
        Present if a server states that it has not run the request.
    load : str
        Load of the answering server.
    versions : str
        Weight version at the start of an answer.
    event_version : str
        Field of an event that names a new weight version.
    length_hint : str
        Estimated number of output tokens.
    token_counts : str
        Number of tokens of a prompt and maximum number to generate, comma-separated.
    urgency : str
        Rank among the requests of a model engine, 0 for the most urgent.
    wait : str
        Milliseconds for which an answer may wait for new results (long polling).
    key : str
        Key of the caller's workspace. It is never sent to a server.
    workspace : str
        Workspace for which a server runs a request. A value sent by a caller is
        dropped.
    cold_left : str
        Milliseconds for which the answering server is still cold; empty where no server
        sends it.
    parse_load : callable
        Decodes the value of ``load``; raises ValueError if it is malformed.
    """

    request_id: str
    time_left: str
    expected_server: str
    last_event: str
    signature: str
    not_run: str
    load: str
    versions: str
    event_version: str
    length_hint: str
    token_counts: str
    urgency: str
    wait: str
    key: str
    workspace: str
    parse_load: Callable[[str], ServerLoad]
    cold_left: str = ""

    @property
    def identity(self) -> tuple[str, str]:
        """Header fields that identify the caller; values from callers are dropped."""
        return self.key, self.workspace
