"""Data classes for prompt groups, samples, steps and the state of a trainer."""

import attrs

from gypsumshift.platforms import ABSENT

__all__ = ["Group", "Sample", "Step", "TrainerState"]


@attrs.frozen
class Sample:
    """A finished sample with the weight versions that generated it.

    Attributes
    ----------
    id : str
        ``GROUP_ID/NUMBER``, the number counted from 0 within the group.
    prompt, text : str
    token_ids : list of int
    spans : list of [first, last, version]
        Weight version that generated the tokens from ``first`` up to but not
        including ``last``.
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
        """Oldest weight version that generated one of its tokens."""
        return min(span[2] for span in self.spans)

    @property
    def newest(self) -> int:
        """Newest weight version that generated one of its tokens."""
        return max(span[2] for span in self.spans)


@attrs.define
class Group:
    """A prompt for which several samples are to be generated.

    Attributes
    ----------
    id : str
        Identifier chosen by the trainer.
    prompt : str
    samples : int
        Number of samples to generate.
    max_tokens : int
        Maximum number of tokens per sample.
    temperature : float
    number : int
        Position in the order of acceptance, from 1.
    object : str
        Name of the object that contains the samples; empty until they are stored.
    oldest, newest : int
        Oldest and newest weight version of its samples; 0 until they are stored.
    failed : str
        Reason why the group cannot be generated; empty if it has not failed.
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
        """Whether the group's samples have not been generated yet."""
        return not self.object and not self.failed

    @property
    def is_ready(self) -> bool:
        """Whether the group's samples are stored."""
        return bool(self.object)


@attrs.define
class TrainerState:
    """Progress of one trainer, as stored in its row.

    Attributes
    ----------
    version : int
        Newest weight version that the trainer has reported to train on.
    sealed : int
        Newest sealed step; 0 if there is none.
    wanted : int
        Newest step that the trainer has requested.
    accepted : int
        Number of groups accepted so far.
    row_version : int
        Version of the row that this was read from.
    """

    version: int = 0
    sealed: int = 0
    wanted: int = 0
    accepted: int = 0
    row_version: int = ABSENT


@attrs.define
class Step:
    """A sealed step: a fixed list of groups that are delivered together.

    Attributes
    ----------
    number : int
    version : int
        Weight version of the trainer against which staleness was checked.
    groups : list of Group
    """

    number: int
    version: int
    groups: list[Group]
