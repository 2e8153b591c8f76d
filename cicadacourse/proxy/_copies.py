"""The copies of a body that is sent to another instance."""

from __future__ import annotations

import contextlib
from typing import AsyncIterator

from cicadacourse.exchange import SendFailure
from cicadacourse.resources import HeldKind, MemoryAccount, NoRoom

# A body is encoded, enveloped and queued.
COPIES = 3
# How long a request waits for room for these copies.
ROOM_WAIT_S = 0.8


@contextlib.asynccontextmanager
async def holding_copies(account: MemoryAccount, size: int) -> AsyncIterator[None]:
    """Makes room for the copies of a body of a size in bytes while it is sent.

    :raises SendFailure: if there is none; nothing was sent.
    """
    with account.holding(HeldKind.COPY) as holding:
        try:
            await holding.reserve(COPIES * size, ROOM_WAIT_S)
        except NoRoom as error:
            raise SendFailure(str(error), False, "no_room") from error
        yield
