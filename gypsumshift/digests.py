"""Digests that processes exchange: JSON objects with one named section per subject."""

import abc

from gypsumshift.jsondata import parse_json

__all__ = ["DigestSection", "decode_digest"]

# Section that holds the rows of a digest in the form of a list, which processes of an
# older version send during an upgrade.
LIST_SECTION = "servers"


class DigestSection(abc.ABC):
    """One subject of the digests that processes exchange.

    Attributes
    ----------
    name : str
        Key of the section in a digest.
    """

    name: str

    @abc.abstractmethod
    def encode(self) -> object | None:
        """Return the section as JSON values; None leaves it out of the digest."""

    @abc.abstractmethod
    def merge(self, value: object) -> None:
        """Merge the section that another process sent.

        Raises
        ------
        ValueError
            The value is invalid; nothing of it is merged.
        """


def decode_digest(body: bytes) -> dict[str, object]:
    """Return the sections of a received digest by name.

    Raises
    ------
    ValueError
        The body is neither a JSON object nor a list in the older form.
    """
    value = parse_json(body)
    if isinstance(value, list):
        return {LIST_SECTION: value}
    if not isinstance(value, dict):
        raise ValueError("invalid digest: neither an object nor a list")
    return value
