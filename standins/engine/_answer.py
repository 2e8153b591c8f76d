"""The answer to a prompt, a fixed function of prompt and position."""

from __future__ import annotations

import string

import xxhash

_LETTERS = string.ascii_lowercase


def prompt_seed(prompt: str) -> int:
    """Returns the number that stands for a prompt in its answer."""
    return xxhash.xxh3_64_intdigest(prompt.encode())


def token_text(seed: int, position: int) -> str:
    """Returns the 4 letters at a position of the answer."""
    number = xxhash.xxh3_64_intdigest(position.to_bytes(8, "little"), seed)
    letters = []
    for _ in range(4):
        number, index = divmod(number, len(_LETTERS))
        letters.append(_LETTERS[index])
    return "".join(letters)


def answer_slice(seed: int, start: int, stop: int) -> str:
    """Returns the text of the tokens from ``start`` up to ``stop``."""
    return "".join(token_text(seed, index) for index in range(start, stop))


def expected_text(prompt: str, max_tokens: int) -> str:
    """Returns the whole answer to a prompt.

    >>> len(expected_text("a question", 3))
    12
    """
    return answer_slice(prompt_seed(prompt), 0, max_tokens)
