"""The lines of an answer, with the faults of the engine that sends them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, AsyncIterator

import attrs

from standins.engine._messages import Line
from standins.engine._session import Session

if TYPE_CHECKING:
    from standins.engine._core import EngineCore

PROGRESS_CHECK_S = 1.0
CROSSED = "crossed"


async def read_lines(
    engine: EngineCore, session: Session, position: int
) -> AsyncIterator[Line]:
    """Yields an answer's lines from a position on, then the end mark.

    A released or timed out session ends without the mark.

    :raises ConnectionResetError: if the engine crashes or cuts the stream.
    """
    faults = engine.faults
    if faults.late_s:
        await asyncio.sleep(faults.late_s)
    sent = 0
    async for line in _true_lines(engine, session, position):
        await faults.pause()
        if faults.down:
            raise ConnectionResetError(engine.name)
        if faults.cut_after_lines and sent >= faults.cut_after_lines:
            raise ConnectionResetError(engine.name)
        if faults.dribble_s:
            await asyncio.sleep(faults.dribble_s)
        if faults.crossed:
            line = attrs.evolve(line, request=f"{line.request}-{CROSSED}")
        yield line
        if faults.duplicated:
            yield line
        sent += 1


async def _true_lines(
    engine: EngineCore, session: Session, position: int
) -> AsyncIterator[Line]:
    """Yields the lines that the session makes, in order and once each."""
    tokens_per_line = engine.settings.tokens_per_line
    while True:
        stop = session.produced
        if not session.ended:
            stop -= (stop - position) % tokens_per_line
        if position < stop:
            yield _line(session, position, session.text(position, stop))
            position = stop
        elif session.produced >= session.total:
            yield _line(session, session.total, end=True)
            return
        elif session.ended:
            return
        else:
            await session.progress(PROGRESS_CHECK_S)
            if engine.faults.down:
                raise ConnectionResetError(engine.name)


def _line(session: Session, position: int, text: str = "", end: bool = False) -> Line:
    request = session.request
    return Line(
        session=session.name,
        request=request.request,
        attempt=request.attempt,
        position=position,
        text=text,
        end=end,
    )
