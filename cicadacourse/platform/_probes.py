"""HTTP servers for readiness probes, instance look-ups, metrics and status."""

from __future__ import annotations

import contextlib
import json
import random
from typing import AsyncIterator

import attrs
import tornado.web

from cicadacourse.application import SERVICES, Application, Service
from cicadacourse.catalog import Catalog, CatalogService
from cicadacourse.gateway import PATH_STATUS, get_instance_status
from cicadacourse.logs import INSTANCES_LEFT_OUT, NOT_READY, READY, log
from cicadacourse.membership import Member, choose_for_callers, select_connected
from cicadacourse.platform._client_server import ClientServer
from cicadacourse.platform._names import PATH_READY, PATH_RESOLVE
from cicadacourse.platform._settings import ListenSettings
from cicadacourse.tasks import Tasks
from cicadacourse.util.addresses import split_address
from cicadacourse.util.clock import now

# Limit of the addresses in the response to a look-up.
MAX_ADDRESSES = 64
# Limit of the names in one log line.
MAX_LOGGED = 8
PATH_METRICS = "/metrics"
# None of the requests here has a body.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 16_384
BODY_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 120.0
_OK = 200
_UNAVAILABLE = 503


@SERVICES.register("probes")
class Probes(Service):
    """Serves readiness probes, look-ups of instances, metrics and the status."""

    name = "probes"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self._settings = app.settings.get(ListenSettings)
        self._was_ready = False
        self._left_out: frozenset[str] = frozenset()
        self._random = random.Random()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Listens on the three addresses while the instance runs."""
        settings = self._settings
        resources = self.app.get("resources").settings
        servers = [
            self._listen(
                "ready",
                settings.ready_address,
                resources.probe_connections,
                {PATH_READY: _ReadyHandler},
            ),
            self._listen(
                "directory",
                settings.directory_address,
                resources.directory_connections,
                {PATH_RESOLVE: _ResolveHandler},
            ),
            self._listen(
                "metrics",
                settings.metrics_address,
                resources.probe_connections,
                {PATH_METRICS: _MetricsHandler, PATH_STATUS: _StatusHandler},
            ),
        ]
        sweeping = Tasks(self.app.metrics, "probes")
        for server in servers:
            sweeping.keep("close_unread", server.sweep_periodically)
        try:
            yield
        finally:
            await sweeping.cancel()
            for server in servers:
                server.stop()

    def _listen(
        self,
        listener: str,
        address: str,
        max_connections: int,
        handler_by_path: dict[str, type[_Handler]],
    ) -> ClientServer:
        arguments = {"probes": self}
        application = tornado.web.Application(
            [(path, handler, arguments) for path, handler in handler_by_path.items()],
            log_function=lambda _: None,
        )
        resources = self.app.get("resources")
        server = ClientServer(
            application,
            listener=listener,
            max_connections=max_connections,
            answer_idle_s=resources.settings.answer_idle_s,
            account=resources.account,
            metrics=self.app.metrics,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        host, port = split_address(address)
        server.listen(port, host)
        return server

    def is_ready(self) -> bool:
        """Returns whether this instance accepts requests now; logs each change."""
        catalog_service: CatalogService = self.app.get("catalog")
        ready = (
            catalog_service.is_known
            and catalog_service.freshness.may_serve(now())
            and not self.app.get("gateway").leaving
        )
        if ready != self._was_ready:
            self._was_ready = ready
            log(READY if ready else NOT_READY)
        return ready

    def addresses(
        self, failure_domain: str, host: str = "", region: str = ""
    ) -> list[str]:
        """Returns addresses for callers in a failure domain, in random order.

        :param host: the host that they are looked up for; empty for any.
        :param region: the callers' region; empty if it is not known.
        """
        chosen = choose_for_callers(
            self._connected_members(),
            failure_domain,
            MAX_ADDRESSES,
            self._random,
            self._regions_for(host, region),
        )
        return [item.caller_address for item in chosen]

    def _regions_for(self, host: str, region: str) -> frozenset[str] | None:
        """Returns the regions whose instances serve a host's callers, None for all."""
        catalog: Catalog | None = self.app.get("catalog").catalog
        regions = catalog.find_host_regions(host) if catalog else None
        return None if regions is None else regions | {region}

    @property
    def ttl_s(self) -> float:
        """How long a caller may cache the addresses, in seconds."""
        return self._settings.directory_ttl_s

    def _connected_members(self) -> list[Member]:
        """Returns the members that callers may be sent to and that reach endpoints.

        If too few do, all that callers may be sent to. Logs each change.
        """
        members = self._members()
        cut_off_names = self.app.get("reachability").cut_off_instances()
        connected = select_connected(members, cut_off_names)
        kept = {item.name for item in connected}
        left_out = frozenset(item.name for item in members if item.name not in kept)
        if left_out != self._left_out:
            self._left_out = left_out
            log(
                INSTANCES_LEFT_OUT,
                count=len(left_out),
                instances=sorted(left_out)[:MAX_LOGGED],
                cut_off=len(cut_off_names),
                alive=len(members),
            )
        return connected

    def _members(self) -> list[Member]:
        """Returns the members that callers may be sent to.

        This one is left out while it is not ready, unless there is no other.
        """
        membership = self.app.get("membership")
        alive = membership.alive_members()
        if self.is_ready():
            return alive
        own = membership.self_member()
        return [item for item in alive if item.name != own.name] or [own]


class _Handler(tornado.web.RequestHandler):
    """Base of the request handlers, which respond for the service ``probes``."""

    def initialize(self, probes: Probes) -> None:
        """Stores the service; called by tornado."""
        self.probes = probes


class _ReadyHandler(_Handler):
    def get(self) -> None:
        """Responds with 200 while this instance accepts requests, else 503."""
        self.set_status(_OK if self.probes.is_ready() else _UNAVAILABLE)


class _ResolveHandler(_Handler):
    def get(self) -> None:
        """Responds with the addresses for a failure domain, 503 if there are none."""
        argument = self.get_query_argument
        addresses = self.probes.addresses(
            argument("zone", ""), argument("name", ""), argument("region", "")
        )
        if not addresses:
            self.set_status(_UNAVAILABLE)
            return
        self.set_header("Content-Type", "application/json")
        body = {"addresses": addresses, "ttlS": self.probes.ttl_s}
        self.finish(json.dumps(body))


class _MetricsHandler(_Handler):
    def get(self) -> None:
        """Responds with all metrics as text."""
        body, headers = self.probes.app.metrics.render()
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class _StatusHandler(_Handler):
    def get(self) -> None:
        """Responds with the state of this instance, for ``cicadacourse show``."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(attrs.asdict(get_instance_status(self.probes.app))))
