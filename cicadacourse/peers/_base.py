"""The base of calls between instances: message classes and their handlers."""

from __future__ import annotations

import abc
from typing import Any, Awaitable, Callable, TypeVar

import attrs
from returns.result import Result

from cicadacourse.application import Service
from cicadacourse.errors import Error
from cicadacourse.registry import Registry

M = TypeVar("M", bound=type)
H = TypeVar("H", bound=Callable[..., Awaitable[Any]])

MESSAGES: Registry[type] = Registry("message")

_HANDLED = "_cicadacourse_handled_message"


def message(name: str) -> Callable[[M], M]:
    """Returns a decorator that makes a frozen attrs class of a message.

    :param name: the family and the message, such as ``dispatch.GrantRequest``; the
        struct of that name in ``cicadacourse/schema/<family>.capnp`` has the same
        fields in camel case.
    """

    def decorate(cls: M) -> M:
        made = MESSAGES.register(name)(attrs.frozen(kw_only=True)(cls))
        made.message_name = name
        return made

    return decorate


def handles(message_class: type) -> Callable[[H], H]:
    """Returns a decorator for a service's method that answers a message.

    The method is ``async def on_…(self, message) -> reply message``; to refuse, it
    raises :class:`~cicadacourse.errors.CicadacourseError`, which reaches the asking
    side as a Failure.
    """

    def decorate(method: H) -> H:
        setattr(method, _HANDLED, message_class)
        return method

    return decorate


def handlers_by_message(service: Service) -> dict[type, Callable[..., Any]]:
    """Returns a service's bound methods marked with :func:`handles`."""
    found = {}
    for attribute in dir(type(service)):
        method = getattr(type(service), attribute)
        message_class = getattr(method, _HANDLED, None)
        if message_class is not None:
            found[message_class] = getattr(service, attribute)
    return found


class Peers(Service):
    """Calls other instances and answers theirs; the service is named ``peers``."""

    name = "peers"

    @abc.abstractmethod
    async def call(
        self, address: str, request: Any, timeout_s: float
    ) -> Result[Any, Error]:
        """Sends a message to the instance at a peer address and returns its reply.

        A call to the own address is answered in the process. Fails with
        ``PEER_UNREACHABLE`` if no answer came in time (the peer may have acted), with
        ``TOO_LARGE`` if the message is over the limit, or with the error that the
        peer's handler raised.
        """
