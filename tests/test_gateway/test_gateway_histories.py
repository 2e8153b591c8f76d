"""Any history of endpoints' faults ends in one whole or truthful answer in time."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter, defaultdict
from typing import AsyncIterator

import attrs
import looptime
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
from cicadacourse.errors import Error
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
from cicadacourse.load import LoadService
from cicadacourse.membership import Member
from cicadacourse.placement import Placer
from cicadacourse.util.clock import now
from standins.platform import PROFILE

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
    """An instance alone."""

    name = "membership"

    def members(self) -> list[Member]:
        """Returns this instance."""
        return [self.self_member()]

    def self_member(self) -> Member:
        """Returns this instance."""
        return Member("one", "127.0.0.1:2", failure_domain="a")


@attrs.define
class FakeAnswer(EndpointResponse):
    """An answer whose parts come one after the other."""

    head: ResponseHead
    parts: list[bytes]
    pause_s: float = 0.0
    is_cut: bool = False

    async def read_chunk(self) -> bytes:
        """Returns the next part, or breaks off after the last."""
        await asyncio.sleep(self.pause_s)
        if self.parts:
            return self.parts.pop(0)
        if self.is_cut:
            raise SendFailure("cut", True, "cut")
        return b""


class FakeCaller(Service, EndpointClient):
    """Endpoints that fail as a history says.

    :ivar runs: how often each request began to run.
    """

    name = "endpoint_caller"

    def __init__(self, app: Application) -> None:
        super().__init__(app)
        self.fault_by_endpoint: dict[str, str] = defaultdict(lambda: "none")
        self.runs: Counter[str] = Counter()

    def abort_exchanges(self, endpoint_id: str) -> None:
        """Ends nothing."""

    @contextlib.asynccontextmanager
    async def exchange(
        self, request: EndpointRequest, is_idempotent: bool, head_timeout_s: float
    ) -> AsyncIterator[EndpointResponse]:
        """Makes an exchange with an endpoint as its fault is now."""
        fault = self.fault_by_endpoint[request.endpoint.id]
        id = request.caller.id
        if fault == "dead":
            raise SendFailure("no connection", False, "unreachable")
        if fault == "refuse":
            head = ResponseHead(503, (), never_ran=True)
            yield FakeAnswer(head, [])
            return
        self.runs[id] += 1
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
        yield _answer(request, head, fault)


def _answer(request: EndpointRequest, head: ResponseHead, fault: str) -> FakeAnswer:
    if request.caller.prompt is None or head.status != OK:
        return FakeAnswer(head, [f"answer to {request.caller.id}".encode()])
    last = request.last_event_id
    first = 0 if last is None else int(last) + 1
    events = [_event(request.caller.id, number) for number in range(first, EVENTS)]
    if fault == "cut":
        return FakeAnswer(head, [*events[:2], events[-1][:5]], EVENT_S, is_cut=True)
    return FakeAnswer(head, events, EVENT_S)


def _event(id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {id}\n\n".encode()


class FakeReply(Reply):
    """Keeps what a caller gets; ending it twice fails."""

    def __init__(self) -> None:
        super().__init__()
        self.status = 0
        self.body = b""
        self.ended_at: float | None = None
        self.is_whole = False

    async def send_response(self, head: ResponseHead, body: bytes) -> None:
        """Notes a whole answer."""
        assert not self.started
        self.started = True
        self.status, self.body = head.status, body
        self._end(is_whole=True)

    async def start_stream(self, head: ResponseHead, data: bytes) -> None:
        """Notes a stream's head."""
        assert not self.started
        self.started = True
        self.status, self.body = head.status, data

    async def send_events(self, data: bytes) -> None:
        """Notes events."""
        self.body += data

    async def finish_stream(self) -> None:
        """Notes a stream's end."""
        self._end(is_whole=True)

    async def refuse(self, error: Error) -> None:
        """Notes an error."""
        assert not self.started
        self.started = True
        self.status = error.response.status
        self._end(is_whole=True)

    def abort(self) -> None:
        """Notes that the connection was closed."""
        self._end(is_whole=False)

    def _end(self, is_whole: bool) -> None:
        assert self.ended_at is None
        self.ended_at = now()
        self.is_whole = is_whole


@attrs.frozen
class Change:
    """A fault that an endpoint shows from a time on."""

    at_s: float
    endpoint: int
    fault: str


@attrs.frozen
class Asked:
    """One request of a history."""

    at_s: float
    path: str
    time_limit_s: float

    @property
    def is_stream(self) -> bool:
        return self.path in ("ask", "tell")

    @property
    def is_idempotent(self) -> bool:
        return self.path in ("ask", "look")


CHANGES = st.lists(
    st.builds(
        Change,
        at_s=st.floats(0, LAST_CHANGE_S),
        endpoint=st.integers(0, ENDPOINTS - 1),
        fault=st.sampled_from(FAULTS),
    ),
    max_size=10,
)
ASKED = st.lists(
    st.builds(
        Asked,
        at_s=st.floats(0, LAST_CHANGE_S),
        path=st.sampled_from(["ask", "tell", "book", "look"]),
        time_limit_s=st.sampled_from([0.1, 0.5, 2.0, 10.0]),
    ),
    min_size=1,
    max_size=8,
)


def make_app(name: str = "one") -> Application:
    """Returns an instance whose endpoints are fakes."""
    settings = InstanceSettings(
        name=name,
        failure_domain="a",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
    )
    app = Application(Settings(settings))
    for make in (
        CatalogService,
        FakeMembership,
        LoadService,
        FakeCaller,
        Placer,
        Gateway,
    ):
        app.add_service(make(app))
    keeper: CatalogService = app.get("catalog")
    keeper.apply_if_newer(CATALOG, "test")
    for pool in ("engines", "plain"):
        for number in range(ENDPOINTS):
            id = f"{pool}-{number}"
            keeper.registry.put(Endpoint(id, pool, f"10.0.0.{number}:1", "a", 8))
    keeper.mark_registry_known()
    return app


async def serve(app: Application, number: int, asked: Asked) -> tuple[FakeReply, float]:
    """Serves one request; returns its reply and how long it took."""
    await asyncio.sleep(asked.at_s)
    arrived = now()
    request = CallerRequest(
        id=f"r{number}",
        method="POST",
        host=HOST,
        target=f"/{asked.path}/x",
        key=None,
        arrived=arrived,
        timeout_s=asked.time_limit_s,
        last_event_id=None,
        prompt=Prompt("m", 4000, 46 * EVENTS) if asked.is_stream else None,
        headers=(),
        body=b"",
    )
    reply = FakeReply()
    await app.get("gateway").handle(request, reply)
    assert reply.ended_at is not None
    return reply, reply.ended_at - arrived


async def run_history(changes: list[Change], asked: list[Asked]) -> None:
    """Serves the requests under the changes and checks each answer."""
    app = make_app()
    caller: FakeCaller = app.get("endpoint_caller")
    loop = asyncio.get_running_loop()
    for change in changes:
        for pool in ("engines", "plain"):
            id = f"{pool}-{change.endpoint}"
            loop.call_later(
                change.at_s, caller.fault_by_endpoint.__setitem__, id, change.fault
            )
    served = await asyncio.gather(
        *(serve(app, number, item) for number, item in enumerate(asked))
    )
    for number, (item, (reply, took_s)) in enumerate(zip(asked, served)):
        check(item, reply, took_s, f"r{number}", caller.runs[f"r{number}"])
    assert not app.get("load").table.own_assignments()


def check(asked: Asked, reply: FakeReply, took_s: float, id: str, runs: int) -> None:
    """Checks that an answer is in time, whole and its own, or truthful."""
    assert took_s <= min(asked.time_limit_s, 4.0) + 1e-6
    assert runs <= (3 if asked.is_idempotent else 1)
    if reply.is_whole and reply.status in NOT_RUN_STATUSES:
        assert asked.is_idempotent or not runs
    if reply.status != OK:
        return
    assert runs
    if not asked.is_stream:
        assert reply.body == f"answer to {id}".encode()
        return
    whole = b"".join(_event(id, number) for number in range(EVENTS))
    assert whole.startswith(reply.body)
    assert not reply.is_whole or reply.body == whole


def play(changes: list[Change], asked: list[Asked]) -> None:
    """Plays one history on a paused clock."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        runner.run(run_history(changes, asked))


@settings(max_examples=150)
@given(changes=CHANGES, asked=ASKED)
def test_any_history_of_faults_gives_whole_or_truthful_answers_in_time(
    changes: list[Change], asked: list[Asked]
) -> None:
    play(changes, asked)


@pytest.mark.parametrize("path", ["book", "tell"])
def test_naively_repeating_whatever_failed_runs_a_request_twice(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Attempts, "may_retry", lambda self: self.sent < 3)
    changes = [Change(0.0, number, "reset") for number in range(ENDPOINTS)]
    with pytest.raises(AssertionError):
        play(changes, [Asked(0.5, path, 2.0)])


def test_naively_calling_every_failure_not_run_is_untrue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        Attempts,
        "record_failure",
        lambda self, id, reason, detail, ran: _hope(self, id),
    )
    changes = [Change(0.0, number, "reset") for number in range(ENDPOINTS)]
    with pytest.raises(AssertionError):
        play(changes, [Asked(0.5, "book", 2.0)])


def _hope(attempts: Attempts, endpoint_id: str) -> None:
    attempts.failed_ids |= {endpoint_id}
    attempts.last_reason = "hope"
