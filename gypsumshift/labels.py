"""Weight versions of the tokens of one stream.

Only versions reported by the model engine are used. If the version of any token is
uncertain, the whole stream has no versions; none is assumed.
"""

import attrs

from gypsumshift.generated.messages import Span

__all__ = ["Labeller"]


@attrs.define
class Labeller:
    """Collects the weight versions of the tokens of one stream as spans.

    Attributes
    ----------
    before : int or None
        Version that the engine reported before the stream began; None if it reported
        none.
    spans : list of Span
    count : int
        Number of tokens received so far.
    bare : bool
        Whether any tokens came without a version.
    """

    before: int | None = None
    spans: list[Span] = attrs.field(factory=list)
    count: int = 0
    bare: bool = False

    def add_tokens(self, tokens: int, version: int | None) -> None:
        """Append ``tokens`` tokens with the version that was reported with them."""
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
        """Return the spans; None if the version of any token is uncertain.

        If no token came with a version, all tokens get the version that the engine
        reported both before and after the stream.

        Parameters
        ----------
        after : int or None
            Version that the engine reported after the stream had ended.
        """
        if not self.bare:
            return self.spans
        if self.spans or self.before is None or self.before != after:
            return None
        return [Span(0, self.count, self.before)]
