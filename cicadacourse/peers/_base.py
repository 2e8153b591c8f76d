"""Message classes, their handlers, and the base class of calls between instances."""

from __future__ import annotations

import abc
from typing import Any, Awaitable, Callable, TypeVar, dataclass_transform

import attrs
from returns.result import Result

from cicadacourse.application import Service
from cicadacourse.errors import Error
from cicadacourse.registry import Registry

M = TypeVar("M")
H = TypeVar("H", bound=Callable[..., Awaitable[Any]])

MESSAGES: Registry[type] = Registry("message")

_HANDLED_MESSAGE = "_cicadacourse_handled_message"


@dataclass_transform(kw_only_default=True, frozen_default=True)
def message(name: str) -> Callable[[type[M]], type[M]]:
    """Returns a decorator that registers a message and makes it a frozen attrs class.

    :param name: the schema file and the struct, such as ``membership.Ping``: the struct
        ``Ping`` in ``cicadacourse/schema/membership.capnp``, which has the same fields
        in camel case.
    """

    def decorate(cls: type[M]) -> type[M]:
        message_class = attrs.frozen(kw_only=True)(cls)
        MESSAGES.register(name)(message_class)
        setattr(message_class, "message_name", name)
        return message_class

    return decorate


def handles(message_class: type) -> Callable[[H], H]:
    """Returns a decorator for a service's method that answers a message.

    The method is ``async def on_…(self, message) -> reply message``; to refuse, it
    raises :class:`~cicadacourse.errors.CicadacourseError`, which the calling instance
    receives as a Failure.
    """

    def decorate(method: H) -> H:
        setattr(method, _HANDLED_MESSAGE, message_class)
        return method

    return decorate


def handlers_by_message(service: Service) -> dict[type, Callable[..., Any]]:
    """Returns a service's bound methods marked with :func:`handles`."""
    method_by_message = {}
    for attribute in dir(type(service)):
        method = getattr(type(service), attribute)
        message_class = getattr(method, _HANDLED_MESSAGE, None)
        if message_class is not None:
            method_by_message[message_class] = getattr(service, attribute)
    return method_by_message


class Peers(Service):
    """Calls other instances and answers theirs; the service is named ``peers``."""

    name = "peers"

    @abc.abstractmethod
    async def call(
        self, address: str, request: Any, timeout_s: float
    ) -> Result[Any, Error]:
        """Sends a message to the instance at a peer address and returns its reply.

        A call to this instance's own address is dispatched within the process.

        :returns: the reply; or ``PEER_UNREACHABLE`` if none came in time (the peer may
            have executed the request), ``TOO_LARGE`` if the message is over the limit,
            ``BAD_REQUEST`` if it is invalid or has no handler, or the error that the
            peer's handler raised.
        """
