"""Room for the answers that are collected before they are passed on."""

from __future__ import annotations

import contextlib
from typing import Awaitable, Callable, Iterator

from cicadacourse.exchange import MAX_BODY_BYTES, SendFailure
from cicadacourse.resources import SMALL_BYTES, HeldKind, MemoryAccount, NoRoom
from cicadacourse.util.clock import now


@contextlib.contextmanager
def answer_room(
    account: MemoryAccount,
    length: int | None,
    deadline: float,
    on_wait: Callable[[], None],
) -> Iterator[Callable[[int], Awaitable[None]]]:
    """Yields a function that makes room for so many bytes of an answer.

    It makes room for the whole answer once that is no small one, so that no two answers
    that have begun wait for each other. It raises a :class:`SendFailure` if there is no
    room before the deadline.

    :param length: the size of the whole answer, None if it is not known.
    :param deadline: loop time in seconds.
    :param on_wait: called when it is not the endpoint that is waited for.
    """
    with account.holding(HeldKind.ANSWER) as holding:

        async def make_room(size: int) -> None:
            if size <= holding.size:
                return
            on_wait()
            if size > SMALL_BYTES:
                size = MAX_BODY_BYTES if length is None else max(size, length)
            try:
                await holding.reserve(size, max(0.0, deadline - now()))
            except NoRoom as error:
                raise SendFailure(str(error), True, "no_room") from error

        yield make_room
