"""The pieces of a response that is carried for another instance, one at a time."""

from __future__ import annotations

import asyncio

from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.exchange import EndpointResponse, ResponseHead, SendFailure
from cicadacourse.proxy._messages import ExchangeFailure, ProxiedPiece

# How long a call waits for a piece that has not come yet.
PIECE_WAIT_S = 0.15
MAX_PIECE_BYTES = 65_536


class Pieces:
    """Holds one piece of a response until the next one is asked for.

    :ivar sent_bytes: bytes of the body in the pieces so far.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self._number = 0
        self._piece: ProxiedPiece | None = None
        self._changed = asyncio.Event()
        self._asked = asyncio.Event()

    @property
    def count(self) -> int:
        """How many pieces there have been."""
        return self._number + (self._piece is not None)

    async def read(self, number: int) -> ProxiedPiece:
        """Returns a piece, or a pending one if it has not come in time.

        The same number may be asked for again.

        :raises CicadacourseError: if the piece was dropped or is not due.
        """
        if number == self._number + 1 and self._piece and not self._piece.is_last:
            self._number = number
            self._piece = None
            self._asked.set()
        if number != self._number:
            detail = f"piece {number} is asked for, number {self._number} is due"
            raise CicadacourseError(Error(ErrorKind.BAD_REQUEST, detail))
        if self._piece is None:
            self._changed.clear()
            try:
                async with asyncio.timeout(PIECE_WAIT_S):
                    await self._changed.wait()
            except TimeoutError:
                return ProxiedPiece(number=number, is_pending=True)
        # Another call may have asked for the next piece meanwhile.
        if self._piece is None or number != self._number:
            return ProxiedPiece(number=number, is_pending=True)
        return self._piece

    async def copy(self, response: EndpointResponse) -> None:
        """Makes pieces of a response, each once it is asked for.

        :raises SendFailure: if the response breaks off.
        """
        self._put(head=response.head)
        rest = b""
        is_end = False
        while not is_end:
            await self._wait_until_asked()
            data = rest or await response.read_chunk()
            is_end = not data
            data, rest = data[:MAX_PIECE_BYTES], data[MAX_PIECE_BYTES:]
            self.sent_bytes += len(data)
            self._put(data=data, is_end=is_end)

    def fail(self, failure: SendFailure) -> None:
        """Makes a failure of the piece that is due, the last one."""
        self._put(failure=ExchangeFailure.of(failure))

    async def _wait_until_asked(self) -> None:
        await self._asked.wait()
        self._asked.clear()

    def _put(
        self,
        data: bytes = b"",
        is_end: bool = False,
        head: ResponseHead | None = None,
        failure: ExchangeFailure | None = None,
    ) -> None:
        self._piece = ProxiedPiece(
            number=self._number, data=data, is_end=is_end, head=head, failure=failure
        )
        self._changed.set()
