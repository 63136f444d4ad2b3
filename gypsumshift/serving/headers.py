"""Header names: what the header fields between callers and servers are called."""

import attrs

__all__ = ["HOP_BY_HOP", "HeaderNames"]

# RFC 9110, section 7.6.1: these speak of one connection only.
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
        Milliseconds that the sender will wait.
    expected_server : str
        Id of the only server that may run the request.
    last_event : str
        Number of the last event that the sender holds of a stream.
    signature : str
        Put on each answer by the server that made it.
    not_run : str
        Present where a server vouches that it has not run the request.
    load : str
        Running requests, waiting requests and slots of the answering server.
    versions : str
        Weight version at the start of an answer.
    event_version : str
        Field of an event that names a new weight version.
    length_hint : str
        Estimated number of output tokens.
    token_counts : str
        Tokens of a prompt and the most that may be generated, with a comma between.
    urgency : str
        Rank among the requests of a model engine, 0 for the most urgent.
    wait : str
        Milliseconds for which the caller lets an answer wait for news.
    key : str
        Key of the caller's workspace. No server ever gets it.
    workspace : str
        Workspace for which a server runs a request. Whatever a caller says here is
        left out.
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

    @property
    def identity(self) -> tuple[str, str]:
        """Fields that tell who calls: none of a caller's goes to a server."""
        return self.key, self.workspace
