"""The application: starts an instance's services in order, finds them by name."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, AsyncIterator, ClassVar

from cicadacourse.events import EventBus
from cicadacourse.metrics import Metrics
from cicadacourse.registry import Registry
from cicadacourse.util.logging import get_logger

if TYPE_CHECKING:
    from cicadacourse.config import Settings

logger = get_logger("kernel")

SERVICES: Registry[type[Service]] = Registry("service")


class Service:
    """One part of an instance, which other parts look up by its name.

    A subclass sets :attr:`name`, registers itself with
    ``@SERVICES.register(name)`` and overrides :meth:`running`.

    :param app: the application that the service belongs to.
    """

    name: ClassVar[str]

    def __init__(self, app: Application) -> None:
        self.app = app

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Starts the service, yields while it runs, then stops it."""
        yield


class Application:
    """The services of one instance, with its settings, event bus and metrics."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.events = EventBus()
        self.metrics = Metrics()
        self._services_by_name: dict[str, Service] = {}

    def add_service(self, service: Service) -> None:
        """Adds a service; services start in the order in which they are added.

        :raises ValueError: if a service of that name was added before.
        """
        if service.name in self._services_by_name:
            raise ValueError(f"service {service.name!r} is added twice")
        self._services_by_name[service.name] = service

    def add_services(self, *names: str) -> None:
        """Creates the services registered under these names and adds them in order.

        :raises UnknownNameError: if no service is registered under a name.
        """
        for name in names:
            self.add_service(SERVICES.get(name)(self))

    def get(self, name: str) -> Any:
        """Returns the service of that name.

        :raises LookupError: if it was not added.
        """
        try:
            return self._services_by_name[name]
        except KeyError:
            raise LookupError(f"no service named {name!r}") from None

    def find(self, name: str) -> Any | None:
        """Returns the service of that name, or None if it was not added."""
        return self._services_by_name.get(name)

    @property
    def services(self) -> list[Service]:
        """All services, in starting order."""
        return list(self._services_by_name.values())

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Starts every service in order, yields, then stops them in reverse."""
        async with contextlib.AsyncExitStack() as stack:
            for service in self.services:
                await stack.enter_async_context(service.running())
                logger.debug("service {} started", service.name)
            yield
