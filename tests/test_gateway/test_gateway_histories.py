"""Each request gets one complete response or error in time, whatever faults occur.

Hypothesis generates histories of faults and requests, which run on a simulated clock.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter, defaultdict
from typing import AsyncIterator, Callable

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadacourse.application import Application, Service
from cicadacourse.catalog import (
    Catalog,
    CatalogService,
    Endpoint,
    Pool,
    PoolShare,
    Route,
    RouteKind,
)
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.eligibility import Eligibility
from cicadacourse.errors import Error
from cicadacourse.evidence import Evidence
from cicadacourse.exchange import (
    CallerRequest,
    EndpointClient,
    EndpointRequest,
    EndpointResponse,
    Header,
    Prompt,
    Reply,
    ResponseHead,
    SendFailure,
)
from cicadacourse.gateway import Gateway
from cicadacourse.gateway._attempts import Attempts
from cicadacourse.limits import EndpointLimits, Permits
from cicadacourse.load import LoadService
from cicadacourse.membership import Member
from cicadacourse.placement import Placer
from cicadacourse.platform import _names as names
from cicadacourse.proxy import ProxyingClient
from cicadacourse.quarantine import Quarantine
from cicadacourse.reachability import Reachability
from cicadacourse.resources import Resources
from cicadacourse.util.clock import now
from standins.platform import PROFILE
from tests.simulated_loop import new_event_loop

HOST = "fleet.example"
ENDPOINTS = 3
EVENTS = 6
EVENT_S = 0.05
WORK_S = 0.04
LAST_CHANGE_S = 3.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
OK = 200
FAULTS = ("none", "none", "silent", "refuse", "error", "reset", "cut", "slow", "dead")


def _route(name: str, kind: RouteKind, pool: str, **more: object) -> Route:
    share = (PoolShare(pool),)
    return Route(
        name, HOST, f"/{name}/", kind, share, 4.0, 0.3, 0.2, 1, 3, True, **more
    )


CATALOG = Catalog(
    version=1,
    routes=(
        _route("ask", RouteKind.STREAM, "engines", is_resumable=True),
        _route("tell", RouteKind.STREAM, "engines", is_resumable=False),
        _route("book", RouteKind.UNSAFE, "plain"),
        _route("look", RouteKind.SAFE, "plain"),
    ),
    pools=(Pool("engines", engine=PROFILE), Pool("plain")),
)


class FakeMembership(Service):
    """A membership of a single instance."""

    name = "membership"

    def members(self) -> list[Member]:
        """Returns this instance."""
        return [self.self_member()]

    def self_member(self) -> Member:
        """Returns this instance."""
        return Member("one", "127.0.0.1:2", failure_domain="a")


@attrs.define
class FakeResponse(EndpointResponse):
    """A response whose chunks arrive one after the other.

    :param gap_s: seconds before each chunk.
    :param breaks_off: whether the response breaks off after its last chunk.
    """

    head: ResponseHead
    chunks: list[bytes]
    gap_s: float = 0.0
    breaks_off: bool = False

    async def read_chunk(self) -> bytes:
        """Returns the next chunk; after the last, ends or breaks off."""
        await asyncio.sleep(self.gap_s)
        if self.chunks:
            return self.chunks.pop(0)
        if self.breaks_off:
            raise SendFailure("cut", True, "cut")
        return b""


class FakeEndpointClient(Service, EndpointClient):
    """Endpoints that show the faults of a history.

    :ivar fault_by_endpoint: the present fault of each endpoint, by id.
    :ivar run_counts: how often each request was run, by id.
    """

    name = "endpoint_caller"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.fault_by_endpoint: dict[str, str] = defaultdict(lambda: "none")
        self.run_counts: Counter[str] = Counter()

    async def is_process_gone(self, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint is dead."""
        return self.fault_by_endpoint[endpoint.id] == "dead"

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Does nothing; no connection is kept here."""

    def abort_exchanges(self, endpoint_id: str) -> None:
        """Does nothing; no test here aborts exchanges."""

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        request: EndpointRequest,
        is_idempotent: bool,
        head_timeout_s: float,
        regions: frozenset[str] | None = None,
    ) -> AsyncIterator[EndpointResponse]:
        """Simulates an exchange with an endpoint under its present fault."""
        fault = self.fault_by_endpoint[request.endpoint.id]
        id = request.caller.id
        if fault == "dead":
            raise SendFailure("no connection", False, "unreachable")
        if fault == "refuse":
            head = ResponseHead(503, (), never_ran=True)
            yield FakeResponse(head, [])
            return
        self.run_counts[id] += 1
        wait_s = 1.5 if fault == "slow" else 1e6 if fault == "silent" else WORK_S
        try:
            async with asyncio.timeout(head_timeout_s):
                await asyncio.sleep(wait_s)
        except TimeoutError:
            raise SendFailure("no head in time", True, "silent") from None
        if fault == "reset":
            raise SendFailure("reset", True, "reset")
        status = 500 if fault == "error" else OK
        head = ResponseHead(status, (Header("Seal", request.endpoint.id),))
        yield _make_response(request, head, fault)


def _make_response(
    request: EndpointRequest, head: ResponseHead, fault: str
) -> FakeResponse:
    if request.caller.prompt is None or head.status != OK:
        return FakeResponse(head, [f"answer to {request.caller.id}".encode()])
    last = request.last_event_id
    first = 0 if last is None else int(last) + 1
    events = [_make_event(request.caller.id, number) for number in range(first, EVENTS)]
    if fault == "cut":
        return FakeResponse(
            head, [*events[:2], events[-1][:5]], EVENT_S, breaks_off=True
        )
    return FakeResponse(head, events, EVENT_S)


def _make_event(id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {id}\n\n".encode()


class FakeReply(Reply):
    """Records the response to a caller; ending it twice fails the test."""

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.reason = ""
        self.body = b""
        self.arrived = 0.0
        self.ended_at: float | None = None
        self.is_complete = False
        self.error: Error | None = None

    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Records a complete response."""
        assert not self.started
        self.started = True
        self.status, self.body = head.status, body
        self._end(is_complete=True)

    async def start_stream(self, head: ResponseHead, data: bytes) -> None:
        """Records the head and the first events of a stream."""
        assert not self.started
        self.started = True
        self.status, self.body = head.status, data

    async def send_events(self, data: bytes) -> None:
        """Records further events."""
        self.body += data

    async def finish_stream(self) -> None:
        """Records the end of a stream."""
        self._end(is_complete=True)

    async def refuse(self, error: Error) -> None:
        """Records an error response."""
        assert not self.started
        self.started = True
        self.status = error.response.status
        self.reason = error.label
        self.error = error
        self._end(is_complete=True)

    def abort(self) -> None:
        """Records that the connection was closed early."""
        self._end(is_complete=False)

    def _end(self, is_complete: bool) -> None:
        assert self.ended_at is None
        self.ended_at = now()
        self.is_complete = is_complete


@attrs.frozen
class FaultChange:
    """A fault that an endpoint shows from ``at_s`` on."""

    at_s: float
    endpoint: int
    fault: str


@attrs.frozen
class ScheduledRequest:
    """One request of a history, sent at ``at_s`` to the route ``path``."""

    at_s: float
    path: str
    time_limit_s: float

    @property
    def is_stream(self) -> bool:
        return self.path in ("ask", "tell")

    @property
    def is_idempotent(self) -> bool:
        return self.path in ("ask", "look")


FAULT_CHANGES = st.lists(
    st.builds(
        FaultChange,
        at_s=st.floats(0, LAST_CHANGE_S),
        endpoint=st.integers(0, ENDPOINTS - 1),
        fault=st.sampled_from(FAULTS),
    ),
    max_size=10,
)
REQUESTS = st.lists(
    st.builds(
        ScheduledRequest,
        at_s=st.floats(0, LAST_CHANGE_S),
        path=st.sampled_from(["ask", "tell", "book", "look"]),
        time_limit_s=st.sampled_from([0.1, 0.5, 2.0, 10.0]),
    ),
    min_size=1,
    max_size=8,
)


def make_app(
    name: str = "one",
    make_client: Callable[[Application], Service] = FakeEndpointClient,
) -> Application:
    """Returns an instance whose endpoints and membership are fakes."""
    settings = InstanceSettings(
        name=name,
        failure_domain="a",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
    )
    app = Application(Settings(settings))
    for service_class in (
        Resources,
        CatalogService,
        FakeMembership,
        LoadService,
        Evidence,
        Reachability,
        Permits,
        Eligibility,
        EndpointLimits,
        Quarantine,
        make_client,
        Placer,
        Gateway,
    ):
        app.add_service(service_class(app))
    catalog_service: CatalogService = app.get("catalog")
    catalog_service.apply_if_newer(CATALOG, "test")
    for pool in ("engines", "plain"):
        for number in range(ENDPOINTS):
            id = f"{pool}-{number}"
            catalog_service.registry.put(
                Endpoint(id, pool, f"10.0.0.{number}:1", "a", 8)
            )
    catalog_service.mark_registry_known()
    return app


def with_connector(
    make_connector: Callable[[Application], Service],
) -> Callable[[Application], Service]:
    """Returns a function that makes the product's client, above a connector."""

    def make_client(app: Application) -> Service:
        app.add_service(make_connector(app))
        return ProxyingClient(app)

    return make_client


async def serve(
    app: Application, number: int, scheduled: ScheduledRequest
) -> tuple[FakeReply, float]:
    """Serves one request; returns its reply and the seconds that it took."""
    await asyncio.sleep(scheduled.at_s)
    arrived = now()
    request = CallerRequest(
        id=f"r{number}",
        method="POST",
        host=HOST,
        target=f"/{scheduled.path}/x",
        key=None,
        arrived=arrived,
        timeout_s=scheduled.time_limit_s,
        last_event_id=None,
        prompt=Prompt("m", 4000, 46 * EVENTS) if scheduled.is_stream else None,
        headers=(Header(names.HEADER_REQUEST_ID, f"r{number}"),),
        body=b"",
    )
    reply = FakeReply()
    await app.get("gateway").handle(request, reply)
    assert reply.ended_at is not None
    return reply, reply.ended_at - arrived


async def run_history(
    changes: list[FaultChange], requests: list[ScheduledRequest]
) -> None:
    """Serves the requests under the changing faults and checks each response."""
    app = make_app()
    client: FakeEndpointClient = app.get("endpoint_caller")
    loop = asyncio.get_running_loop()
    for change in changes:
        for pool in ("engines", "plain"):
            id = f"{pool}-{change.endpoint}"
            loop.call_later(
                change.at_s, client.fault_by_endpoint.__setitem__, id, change.fault
            )
    served = await asyncio.gather(
        *(serve(app, number, item) for number, item in enumerate(requests))
    )
    for number, (item, (reply, took_s)) in enumerate(zip(requests, served)):
        check(item, reply, took_s, f"r{number}", client.run_counts[f"r{number}"])
    assert not app.get("load").table.own_assignments()


def check(
    scheduled: ScheduledRequest,
    reply: FakeReply,
    took_s: float,
    id: str,
    run_count: int,
) -> None:
    """Checks that a response is in time, and complete or a correct error.

    A request that is not idempotent runs at most once, and a status that says that a
    request did not run is correct.
    """
    assert took_s <= min(scheduled.time_limit_s, 4.0) + 1e-6
    assert run_count <= (3 if scheduled.is_idempotent else 1)
    if reply.is_complete and reply.status in NOT_RUN_STATUSES:
        assert scheduled.is_idempotent or not run_count
    if reply.status != OK:
        return
    assert run_count
    if not scheduled.is_stream:
        assert reply.body == f"answer to {id}".encode()
        return
    whole = b"".join(_make_event(id, number) for number in range(EVENTS))
    assert whole.startswith(reply.body)
    assert not reply.is_complete or reply.body == whole


def check_history(changes: list[FaultChange], requests: list[ScheduledRequest]) -> None:
    """Runs and checks one history on a simulated clock."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run_history(changes, requests))


@settings(max_examples=150)
@given(changes=FAULT_CHANGES, requests=REQUESTS)
def test_any_history_of_faults_gives_complete_responses_or_correct_errors_in_time(
    changes: list[FaultChange], requests: list[ScheduledRequest]
) -> None:
    check_history(changes, requests)


@pytest.mark.parametrize("path", ["book", "tell"])
def test_retrying_every_failure_runs_a_request_twice(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that the checks detect a gateway that retries non-idempotent requests."""
    monkeypatch.setattr(Attempts, "may_retry", lambda self: self.sent < 3)
    changes = [FaultChange(0.0, number, "reset") for number in range(ENDPOINTS)]
    with pytest.raises(AssertionError):
        check_history(changes, [ScheduledRequest(0.5, path, 2.0)])


def test_reporting_every_failure_as_not_run_is_untrue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Shows that the checks detect an error that wrongly says that nothing ran."""
    monkeypatch.setattr(
        Attempts,
        "record_failure",
        lambda self, id, reason, detail, ran: _record_as_not_run(self, id),
    )
    changes = [FaultChange(0.0, number, "reset") for number in range(ENDPOINTS)]
    with pytest.raises(AssertionError):
        check_history(changes, [ScheduledRequest(0.5, "book", 2.0)])


def _record_as_not_run(attempts: Attempts, endpoint_id: str) -> None:
    attempts.failed_ids |= {endpoint_id}
    attempts.last_reason = "assumed"
