"""Continuous batching: what one step of an engine processes."""

from __future__ import annotations

from typing import Iterable

import attrs

from standins.engine._messages import STATE_RESERVED
from standins.engine._session import Session
from standins.engine._settings import EngineSettings


@attrs.frozen
class Step:
    """The work of one step.

    :param prefill: prompt tokens to process, by session.
    :param decoding: sessions that make one token each.
    """

    prefill: tuple[tuple[Session, int], ...]
    decoding: tuple[Session, ...]

    def duration_s(self, settings: EngineSettings) -> float:
        """Returns how long the step takes, in seconds."""
        prefill_tokens = sum(tokens for _, tokens in self.prefill)
        context_tokens = sum(session.kv_tokens for session in self.decoding)
        return (
            settings.step_s
            + prefill_tokens * settings.prefill_token_s
            + len(self.decoding) * settings.decode_stream_s
            + context_tokens * settings.context_token_s
        )


def plan_step(sessions: Iterable[Session], chunk_tokens: int) -> Step | None:
    """Plans the next step, highest priority first; None if there is no work."""
    prefilling = []
    decoding = []
    for session in sessions:
        if session.prefilling:
            prefilling.append(session)
        elif session.decoding:
            decoding.append(session)
    if not prefilling and not decoding:
        return None
    prefilling.sort(key=lambda session: (-session.priority, session.order))
    return Step(_share_chunk(prefilling, chunk_tokens), tuple(decoding))


def _share_chunk(
    sessions: list[Session], chunk_tokens: int
) -> tuple[tuple[Session, int], ...]:
    """Gives the step's prompt tokens to the sessions in order."""
    shares = []
    left = chunk_tokens
    for session in sessions:
        if left <= 0:
            break
        tokens = min(left, session.prefill_left)
        shares.append((session, tokens))
        left -= tokens
    return tuple(shares)


def apply_step(step: Step, tokens_per_line: int) -> list[Session]:
    """Advances the sessions; returns those that finished a prefill or an answer."""
    done = []
    for session, tokens in step.prefill:
        session.prefill_left -= tokens
        session.prefilled += tokens
        if session.prefill_left == 0:
            done.append(session)
            if session.state == STATE_RESERVED:
                session.notify()
    for session in step.decoding:
        session.produced += 1
        if session.produced >= session.total:
            done.append(session)
        elif (session.produced - session.first) % tokens_per_line == 0:
            session.notify()
    return done
