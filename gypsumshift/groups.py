"""Groups: what trainers submit and get back, and where each of them stands."""

import attrs

from gypsumshift.platforms import ABSENT

__all__ = ["Group", "Sample", "Step", "TrainerState"]


@attrs.frozen
class Sample:
    """One finished sample.

    Attributes
    ----------
    id : str
        Group and number within the group.
    prompt, text : str
    token_ids : list of int
    spans : list of [first, last, version]
        Which weight version produced tokens ``first`` up to, not with, ``last``.
    finish_reason : str
    """

    id: str
    prompt: str
    text: str
    token_ids: list[int]
    spans: list[list[int]]
    finish_reason: str = "stop"

    @property
    def oldest(self) -> int:
        """Oldest weight version in it."""
        return min(span[2] for span in self.spans)

    @property
    def newest(self) -> int:
        """Newest weight version in it."""
        return max(span[2] for span in self.spans)


@attrs.define
class Group:
    """A prompt of which several samples are wanted.

    Attributes
    ----------
    id : str
        The trainer's own.
    prompt : str
    samples : int
    max_tokens : int
    temperature : float
    number : int
        Order of acceptance, from 1.
    object : str
        Name of the object with the samples; empty while there is none.
    oldest, newest : int
        Weight versions of its samples, once ready.
    failed : str
        Why it will never be ready; empty where it may.
    """

    id: str
    prompt: str
    samples: int = 4
    max_tokens: int = 64
    temperature: float = 1.0
    number: int = 0
    object: str = ""
    oldest: int = 0
    newest: int = 0
    failed: str = ""

    @property
    def is_pending(self) -> bool:
        """Whether its samples are still to be generated."""
        return not self.object and not self.failed

    @property
    def is_ready(self) -> bool:
        """Whether its samples are there."""
        return bool(self.object)


@attrs.define
class TrainerState:
    """Where one trainer stands.

    Attributes
    ----------
    version : int
        Weight version that it last said to train on.
    sealed : int
        Newest step that is complete; 0 for none.
    wanted : int
        Newest step that was asked for.
    accepted : int
        Groups accepted so far.
    row_version : int
        Of the row that this was read from.
    """

    version: int = 0
    sealed: int = 0
    wanted: int = 0
    accepted: int = 0
    row_version: int = ABSENT


@attrs.define
class Step:
    """A sealed step.

    Attributes
    ----------
    number : int
    version : int
        Weight version of the trainer that staleness was checked against.
    groups : list of Group
    """

    number: int
    version: int
    groups: list[Group]
