"""The streams of a stand-in engine and the parts of their prompts."""

from __future__ import annotations

import asyncio
from typing import Sequence

import attrs


@attrs.define(eq=False)
class PrefillPart:
    """A part of a prompt that one engine prefills.

    :param tokens: the tokens that are not yet prefilled.
    :param left_s: the seconds of prefill that are left.
    """

    tokens: int
    left_s: float
    done: asyncio.Event = attrs.field(factory=asyncio.Event)

    def prefill(self, max_tokens: int) -> tuple[int, float]:
        """Prefills some of the tokens and returns their number and the seconds."""
        rate = self.tokens / self.left_s if self.tokens else 0.0
        tokens = min(self.tokens, max_tokens)
        spent_s = tokens / rate if rate else self.left_s
        self.tokens -= tokens
        self.left_s = max(0.0, self.left_s - spent_s)
        return tokens, spent_s


@attrs.define(eq=False)
class Stream:
    """One request that waits or is in progress.

    :param local_prompt_tokens: the prompt tokens in this engine's own KV cache; the
        reservations at its helpers hold the rest.
    :param arrived: when the request came; loop time in seconds.
    :param next_token: the number of output tokens decoded so far, here or elsewhere.
    :param events: the numbers of the events made; None ends the stream.
    """

    prompt_tokens: int
    output_tokens: int
    local_prompt_tokens: int
    own_part: PrefillPart
    helper_parts: Sequence[PrefillPart]
    arrived: float
    next_token: int = 0
    is_decoding: bool = False
    events: asyncio.Queue[int | None] = attrs.field(factory=asyncio.Queue)

    @property
    def context_tokens(self) -> int:
        """The tokens of the prompt and of the output decoded so far."""
        return self.prompt_tokens + self._decoded_tokens

    @property
    def held_tokens(self) -> int:
        """The tokens that the stream holds in its engine's own KV cache."""
        return self.local_prompt_tokens + self._decoded_tokens

    @property
    def is_prefilled(self) -> bool:
        """Whether the engine and all helpers have prefilled their parts."""
        return self.own_part.left_s <= 0 and all(
            part.done.is_set() for part in self.helper_parts
        )

    @property
    def is_ended(self) -> bool:
        """Whether the whole output is decoded, here or elsewhere."""
        return self.next_token >= self.output_tokens

    def decode(self, steps: int) -> None:
        """Makes the event of one pass, and ends the stream after its last one."""
        self.is_decoding = True
        self.events.put_nowait(self.next_token // steps)
        self.next_token += steps
        if self.is_ended:
            self.events.put_nowait(None)

    @property
    def _decoded_tokens(self) -> int:
        return min(self.next_token, self.output_tokens)
