"""The prefill and the time of one pass of a stand-in engine."""

from __future__ import annotations

from typing import Iterable, Sequence

from cicadacourse.catalog import EngineProfile
from standins.platform._streams import PrefillPart, Stream


def prefill_in_pass(
    profile: EngineProfile,
    streams: Sequence[Stream],
    helper_parts: Sequence[PrefillPart],
) -> float:
    """Prefills what one pass allows and returns the seconds of the pass.

    Parts for other engines go before own prompts, the newest of them first.
    """
    decoding = [item for item in streams if item.is_decoding]
    context_tokens = sum(item.context_tokens for item in decoding)
    steps = profile.steps_per_pass if decoding else 1
    own_parts = [item.own_part for item in streams if not item.is_decoding]
    prefill_s = _prefill(
        [*reversed(helper_parts), *own_parts], steps * profile.chunk_tokens
    )
    return profile.pass_s(len(decoding), context_tokens) + prefill_s


def _prefill(parts: Iterable[PrefillPart], budget: int) -> float:
    """Prefills parts in order, up to a number of tokens, and returns the seconds."""
    prefill_s = 0.0
    for part in parts:
        if budget <= 0 or part.left_s <= 0:
            continue
        tokens, spent_s = part.prefill(budget)
        budget -= tokens
        prefill_s += spent_s
    return prefill_s
