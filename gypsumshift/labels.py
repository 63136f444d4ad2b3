"""Labels: which weight version produced which tokens of one stream.

A label comes only from what the model engine itself reported. Tokens whose
version is in doubt make the whole stream unlabelled; nothing is guessed.
"""

import attrs

from gypsumshift.generated.messages import Span

__all__ = ["Labeller"]


@attrs.define
class Labeller:
    """Collects the spans of one stream.

    Attributes
    ----------
    before : int or None
        Version that the engine reported before the stream began; None where it
        did not say.
    spans : list of Span
    count : int
        Tokens seen so far.
    bare : bool
        Whether some tokens came without a version.
    """

    before: int | None = None
    spans: list[Span] = attrs.field(factory=list)
    count: int = 0
    bare: bool = False

    def add_tokens(self, tokens: int, version: int | None) -> None:
        """Take the next tokens with the version reported along with them."""
        if tokens <= 0:
            return
        first, self.count = self.count, self.count + tokens
        if version is None:
            self.bare = True
            return
        last = self.spans[-1] if self.spans else None
        if last is not None and last.version == version and last.last == first:
            last.last = self.count
        else:
            self.spans.append(Span(first, self.count, version))

    def final_spans(self, after: int | None) -> list[Span] | None:
        """Return the spans; None where any token's version is in doubt.

        Parameters
        ----------
        after : int or None
            Version that the engine reported once the stream had ended.
        """
        if not self.bare:
            return self.spans
        if self.spans or self.before is None or self.before != after:
            return None
        return [Span(0, self.count, self.before)]
