"""Tests of calls between instances over the memory network, and of the codec."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure, Success

from cicadacourse.application import Service
from cicadacourse.errors import CicadacourseError, Error, ErrorKind
from cicadacourse.membership import Member, MemberState
from cicadacourse.membership._messages import Ack, Ping
from cicadacourse.peers import MalformedMessage, decode, encode, handles
from cicadacourse.peers._dispatch import FailureReply, Frame
from cicadacourse.util.clock import now
from standins.memory_cluster import memory_cluster
from tests.test_peers.echo_process import ACK, SENDER, ping

REFUSAL = Error(ErrorKind.LIMIT_EXCEEDED, "no", "slow-down", retry_after_s=2.5)


class Echo(Service):
    """Counts pings; refuses, hangs or fails if the target says so."""

    name = "echo"

    def __init__(self, app):
        super().__init__(app)
        self.pings = 0

    @handles(Ping)
    async def on_ping(self, request):
        self.pings += 1
        if request.target == "refuse":
            raise CicadacourseError(REFUSAL)
        if request.target == "hang":
            await asyncio.sleep(1000)
        if request.target == "break":
            raise RuntimeError("broken")
        return Ack(sender=SENDER, deltas=request.deltas)


def echo_pair(seed=1):
    return memory_cluster(["e1", "e2"], [Echo], seed=seed)


def test_decoding_restores_an_encoded_message():
    member = Member("n", "1.2.3.4:5", state=MemberState.SUSPECT, incarnation=2**63)
    request = ping(target="ø", deltas=(member,))
    assert decode("membership.Ping", encode(request)) == request


@pytest.mark.parametrize("retry_after_s", [None, 0.0, 1.5])
def test_an_optional_number_distinguishes_none_from_zero(retry_after_s):
    reply = FailureReply(kind="internal", retry_after_s=retry_after_s)
    assert decode("common.Failure", encode(reply)) == reply


@pytest.mark.parametrize(
    ("name", "body"),
    [
        ("membership.Pong", b""),
        ("nothing", b""),
        ("membership.Ping", b"\xff" * 40),
        ("membership.Ping", encode(ping(target="x" * 200))[:30]),
        ("membership.Ping", b"\x00\xff" * 500),
    ],
)
def test_decoding_malformed_bytes_raises(name, body):
    with pytest.raises(MalformedMessage):
        decode(name, body)


def test_encoding_a_value_that_does_not_fit_its_field_raises():
    with pytest.raises(MalformedMessage):
        encode(ping(deltas=(Member("n", "10.0.0.1:1", incarnation=-1),)))


@pytest.mark.looptime
async def test_a_reply_and_a_refusal_reach_the_calling_instance():
    async with echo_pair() as cluster:
        peers = cluster.get("e1", "peers")
        address = cluster.address("e2")
        reply = await peers.call(address, ping(), 1.0)
        assert reply == Success(ACK)
        refused = await peers.call(address, ping(target="refuse"), 1.0)
        assert refused == Failure(REFUSAL)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("request_message", "kind"),
    [
        (ping(target="break"), ErrorKind.INTERNAL),
        (ping(target="hang"), ErrorKind.PEER_UNREACHABLE),
        (ping(target="x" * 5_000_000), ErrorKind.TOO_LARGE),
        (FailureReply(kind="internal"), ErrorKind.INTERNAL),
        (ACK, ErrorKind.BAD_REQUEST),
    ],
)
async def test_a_bad_call_gets_a_clear_error_and_affects_no_later_call(
    request_message, kind
):
    async with echo_pair() as cluster:
        peers = cluster.get("e1", "peers")
        address = cluster.address("e2")
        result = await peers.call(address, request_message, 1.0)
        assert result.failure().kind is kind
        assert await peers.call(address, ping(), 1.0) == Success(ACK)


@pytest.mark.looptime
async def test_a_malformed_frame_is_answered_by_an_error():
    async with echo_pair() as cluster:
        dispatcher = cluster.get("e2", "peers")._dispatcher
        reply = await dispatcher.answer(Frame("membership.Ping", b"\xff" * 40), 1.0)
        assert decode(reply.name, reply.body).kind == "bad_request"


@pytest.mark.looptime
@pytest.mark.parametrize("fault", ["cut", "drop", "freeze", "kill"])
async def test_a_call_fails_with_peer_unreachable_in_time(fault):
    async with echo_pair() as cluster:
        peers = cluster.get("e1", "peers")
        address = cluster.address("e2")
        if fault == "cut":
            cluster.network.partition([cluster.address("e1")], [address])
        elif fault == "drop":
            cluster.network.link(cluster.address("e1"), address).drop_probability = 1.0
        elif fault == "freeze":
            cluster.freeze("e2")
        else:
            await cluster.kill("e2")
        started = now()
        result = await peers.call(address, ping(), 1.0)
        assert result.failure().kind is ErrorKind.PEER_UNREACHABLE
        assert now() - started <= 1.1


@pytest.mark.looptime
async def test_a_frozen_instance_handles_held_messages_once_it_is_thawed():
    async with echo_pair() as cluster:
        cluster.freeze("e2")
        request = ping()
        result = await cluster.get("e1", "peers").call(
            cluster.address("e2"), request, 1.0
        )
        assert isinstance(result, Failure)
        assert cluster.get("e2", "echo").pings == 0
        cluster.thaw("e2")
        await asyncio.sleep(1.0)
        assert cluster.get("e2", "echo").pings == 1


@pytest.mark.looptime
async def test_a_duplicated_request_is_handled_twice():
    async with echo_pair() as cluster:
        address = cluster.address("e2")
        cluster.network.link(cluster.address("e1"), address).duplicate_probability = 1.0
        await cluster.get("e1", "peers").call(address, ping(), 1.0)
        assert cluster.get("e2", "echo").pings == 2
