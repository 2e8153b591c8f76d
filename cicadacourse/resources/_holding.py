"""What one holder keeps in memory for a caller."""

from __future__ import annotations

import contextlib
import enum
from typing import TYPE_CHECKING, Callable, Iterator

from cicadacourse.util.clock import now

if TYPE_CHECKING:
    from cicadacourse.resources._account import MemoryAccount
    from cicadacourse.resources._lanes import Lane

# A holder makes progress if it moves so many bytes within ``STALL_S`` seconds.
PROGRESS_BYTES = 32_768
STALL_S = 1.0


class HeldKind(enum.Enum):
    """What is held, as metrics and ``cicadacourse show`` name it."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    CARRIED = "carried"
    COPY = "copy"
    ANSWER = "answer"
    EXCHANGE = "exchange"


class Holding:
    """A part of the memory account, with one owner, who closes it.

    Its owner calls :meth:`record_moved` for bytes that come from the caller or go to
    it, so that the account can tell who makes no progress.

    :param account: the account that it is a part of.
    :param kind: what is held.
    :param shed: called to make the owner give up what it holds, None if the owner does
        not wait for a caller. The owner then closes the holding, or makes it smaller.
    :ivar size: the bytes that are held.
    :ivar lane: the part of the account that they are charged to, None without any.
    """

    def __init__(
        self,
        account: MemoryAccount,
        kind: HeldKind,
        shed: Callable[[], None] | None = None,
    ) -> None:
        self.kind = kind
        self.size = 0
        self.lane: Lane | None = None
        self.shed = shed
        self._account = account
        self._moved = 0
        self._progress_at: float | None = None

    def wait_for_caller(self) -> None:
        """Records that the next bytes depend on the caller from now on."""
        self._moved = 0
        self._progress_at = now()

    def restart_wait(self) -> None:
        """Begins the wait for the caller anew if there is one."""
        if self._progress_at is not None:
            self.wait_for_caller()

    def end_wait(self) -> None:
        """Records that it is no longer the caller who is waited for."""
        self._progress_at = None

    @contextlib.contextmanager
    def not_waiting(self) -> Iterator[None]:
        """Ends the wait for the caller in the block, and begins it anew after it."""
        is_waiting = self._progress_at is not None
        self.end_wait()
        try:
            yield
        finally:
            if is_waiting:
                self.wait_for_caller()

    def record_moved(self, count: int) -> None:
        """Records bytes that came from the caller, or that it took."""
        self._moved += count
        if self._moved >= PROGRESS_BYTES:
            self.restart_wait()

    @property
    def is_awaited(self) -> bool:
        """Whether the caller is waited for and nothing has come of it."""
        return self._progress_at is not None and not self.size and not self._moved

    def is_stalled(self, now_s: float) -> bool:
        """Returns whether the caller makes no progress, so that it may be shed."""
        if self.shed is None or self._progress_at is None:
            return False
        return now_s - self._progress_at > STALL_S

    @property
    def moved(self) -> int:
        """The bytes that have moved since the last progress."""
        return self._moved

    def resize(self, size: int) -> None:
        """Sets what is held, at once and whatever room there is.

        :param size: in bytes.
        """
        if size != self.size:
            self._account.charge(self, size)

    async def reserve(self, size: int, timeout_s: float) -> None:
        """Makes room for more; waits in turn while there is none.

        :param size: what is held then, in bytes.
        :param timeout_s: how long to wait for room, in seconds.
        :raises NoRoom: if there is none in time.
        """
        if size > self.size:
            await self._account.make_room(self, size, timeout_s)

    def close(self) -> None:
        """Gives up all that is held."""
        self.end_wait()
        self.resize(0)
        self._account.remove(self)
