"""Whole numbers in header fields, queries and rows that others write."""

__all__ = ["parse_whole_number"]

# Maximum number of digits; the largest such number fits into 64 bits.
MAX_DIGITS = 18


def parse_whole_number(text: str) -> int | None:
    """Return the number that a text of ASCII digits stands for; None for another text.

    `str.isdigit` also accepts digits that `int` does not, such as a superscript two,
    and `int` accepts no text of more than some thousand digits.
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    return int(text)
