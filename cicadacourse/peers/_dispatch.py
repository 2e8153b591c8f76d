"""Dispatches a received message to the service that handles it."""

from __future__ import annotations

import asyncio
from typing import Any, Callable

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.application import Application
from cicadacourse.config import option, section
from cicadacourse.errors import CicadacourseError, Error, ErrorKind, Execution
from cicadacourse.metrics import declare
from cicadacourse.peers._base import handlers_by_message, message
from cicadacourse.peers._codec import MalformedMessage, decode, encode
from cicadacourse.util.logging import get_logger

logger = get_logger("peers")

CALLS_SENT = declare("peer_calls_sent_total", "Calls to other instances, by message.")
CALLS_FAILED = declare("peer_calls_failed_total", "Failed calls, by message and error.")
CALLS_ANSWERED = declare(
    "peer_calls_answered_total", "Calls of other instances answered, by message."
)
CALLS_REFUSED = declare(
    "peer_calls_refused_total", "Calls of other instances refused, by error."
)
BYTES_SENT = declare("peer_bytes_sent_total", "Bytes of messages sent, by message.")

FAILURE_NAME = "common.Failure"


@section("peers")
class PeersSettings:
    """How instances call each other."""

    max_message_bytes: int = option(
        int, 4_194_304, unit="bytes", minimum=1024, help="Largest message accepted."
    )
    connect_timeout_s: float = option(
        float, 2.0, unit="seconds", minimum=0.05, help="Time limit for connecting."
    )
    reconnect_max_s: float = option(
        float, 2.0, unit="seconds", minimum=0.05, help="Longest wait to reconnect."
    )
    idle_s: float = option(
        float, 60.0, unit="seconds", minimum=1, help="Idle connections are closed."
    )


@message(FAILURE_NAME)
class FailureReply:
    """An error that is returned to the calling instance in place of a reply.

    ``run`` is the value of its :class:`~cicadacourse.errors.Execution`, empty if none.
    """

    kind: str
    detail: str = ""
    reason: str = ""
    run: str = ""
    retry_after_s: float | None = None


@attrs.frozen
class Frame:
    """One encoded message: the registered name of its class, and its bytes."""

    name: str
    body: bytes


def to_frame(item: Any, max_bytes: int) -> Result[Frame, Error]:
    """Encodes a message.

    :returns: the frame, or an error if the message is invalid or over ``max_bytes``.
    """
    try:
        frame = Frame(type(item).message_name, encode(item))
    except MalformedMessage as error:
        return Failure(Error(ErrorKind.BAD_REQUEST, str(error)))
    return _checked_size(frame, max_bytes)


def _checked_size(frame: Frame, max_bytes: int) -> Result[Frame, Error]:
    if len(frame.body) > max_bytes:
        detail = f"{frame.name}: {len(frame.body)} bytes, at most {max_bytes}"
        return Failure(Error(ErrorKind.TOO_LARGE, detail))
    return Success(frame)


def from_frame(frame: Frame, max_bytes: int) -> Result[Any, Error]:
    """Decodes a message.

    :returns: the message; or an error if it is over ``max_bytes`` or malformed, or the
        error that the peer sent in place of a reply.
    """
    match _checked_size(frame, max_bytes):
        case Failure() as too_large:
            return too_large
    try:
        item = decode(frame.name, frame.body)
    except MalformedMessage as error:
        return Failure(Error(ErrorKind.BAD_REQUEST, str(error)))
    if isinstance(item, FailureReply):
        return Failure(_to_error(item))
    return Success(item)


def failure_frame(error: Error) -> Frame:
    """Encodes an error in place of a reply."""
    execution = error.execution.value if error.execution else ""
    reply = FailureReply(
        kind=error.kind.value,
        detail=error.detail,
        reason=error.reason,
        run=execution,
        retry_after_s=error.retry_after_s,
    )
    return Frame(FAILURE_NAME, encode(reply))


def _to_error(reply: FailureReply) -> Error:
    try:
        kind = ErrorKind(reply.kind)
        execution = Execution(reply.run) if reply.run else None
    except ValueError:
        return Error(ErrorKind.INTERNAL, f"unknown error {reply.kind!r} from a peer")
    return Error(kind, reply.detail, reply.reason, execution, reply.retry_after_s)


class Dispatcher:
    """Finds the handler of a message among an application's services."""

    def __init__(self, app: Application) -> None:
        self._app = app
        self._service_count = -1
        self._handler_by_class: dict[type, Callable[..., Any]] = {}

    async def answer(self, frame: Frame, timeout_s: float) -> Frame:
        """Handles one frame and returns a reply or a failure; never raises."""
        max_bytes = self._app.settings.get(PeersSettings).max_message_bytes
        match from_frame(frame, max_bytes):
            case Failure(error):
                return self._refuse(error)
            case Success(request):
                pass
        match await self.call(request, timeout_s):
            case Failure(error):
                return self._refuse(error)
            case Success(reply):
                pass
        self._app.metrics.count(CALLS_ANSWERED, message=frame.name)
        match to_frame(reply, max_bytes):
            case Failure(error):
                return self._refuse(error)
            case Success(reply_frame):
                pass
        return reply_frame

    async def call(self, request: Any, timeout_s: float) -> Result[Any, Error]:
        """Calls the handler of a message.

        :returns: the reply, or an error if there is no handler, if it raises, or if it
            takes longer than ``timeout_s``.
        """
        name = type(request).message_name
        handler = self._handlers().get(type(request))
        if handler is None:
            detail = f"no service of this instance handles {name}"
            return Failure(Error(ErrorKind.BAD_REQUEST, detail))
        try:
            async with asyncio.timeout(timeout_s):
                return Success(await handler(request))
        except CicadacourseError as error:
            return Failure(error.error)
        except TimeoutError:
            return Failure(
                Error(ErrorKind.PEER_UNREACHABLE, f"{name}: the handler timed out")
            )
        except Exception:
            logger.exception("handler of {} failed", name)
            return Failure(Error(ErrorKind.INTERNAL, f"handler of {name} failed"))

    def _refuse(self, error: Error) -> Frame:
        self._app.metrics.count(CALLS_REFUSED, error=error.label)
        return failure_frame(error)

    def _handlers(self) -> dict[type, Callable[..., Any]]:
        services = self._app.services
        if len(services) != self._service_count:
            self._service_count = len(services)
            self._handler_by_class = {}
            for service in services:
                self._handler_by_class.update(handlers_by_message(service))
        return self._handler_by_class
