"""The count of tokens in a text."""

from __future__ import annotations

BYTES_PER_TOKEN = 4


def count_tokens(text: str | bytes) -> int:
    """Returns how many tokens a text is counted as.

    >>> count_tokens("12345")
    2
    """
    size = len(text.encode()) if isinstance(text, str) else len(text)
    return -(-size // BYTES_PER_TOKEN)
