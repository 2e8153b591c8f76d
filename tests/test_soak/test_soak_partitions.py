"""Tests of cuts between instances and endpoints, and of the checks of their callers.

If a cut let something pass, or the checks left out first tries that failed, the soak
would not see that instances without links to endpoints fail their callers.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from typing import Any

import pytest

from soak._callers import LOOKUP, SHORT
from soak._cuts import Cut, Cuts, Partition
from soak._instances import InstanceProcess
from soak._partition_checks import (
    CLOSE_BOUND_S,
    CONTACT_S,
    FAILED_SLACK,
    LATE_SLACK_S,
    PartitionHistory,
)
from soak._partitioned_instance import cut_connections
from soak._proxy import Proxy
from standins.platform import Worker
from standins.ports import free_port, next_host
from tests.test_soak.histories import make_attempt, make_instance

SOON_S = 0.1


async def _echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(100):
            writer.write(data)
    writer.close()


async def _connect(
    address: str, source: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.partition(":")
    return await asyncio.open_connection(host, int(port), local_addr=(source, 0))


@contextlib.asynccontextmanager
async def _running_proxy():  # type: ignore[no-untyped-def]
    host = next_host()
    target = f"{host}:{free_port(host)}"
    server = await asyncio.start_server(_echo, *target.split(":"))
    proxy = Proxy(f"{host}:{free_port(host)}", target)
    async with server, proxy.running():
        yield proxy


async def test_a_cut_holds_back_the_connections_from_one_address() -> None:
    async with _running_proxy() as proxy:
        source, other = next_host(), next_host()
        reader, writer = await _connect(proxy.address, source)
        other_reader, other_writer = await _connect(proxy.address, other)
        proxy.block(source, True)
        for item in (writer, other_writer):
            item.write(b"one")
        assert await other_reader.read(100) == b"one"
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SOON_S):
                await reader.read(100)
        proxy.block(source, False)
        assert await reader.read(100) == b"one"
        proxy.reset(source)
        assert await _read_end(reader) == b""
        other_writer.write(b"two")
        assert await other_reader.read(100) == b"two"


async def _read_end(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(100)
    except ConnectionResetError:
        return b""


def _make_instance(folder: pathlib.Path, name: str = "one") -> InstanceProcess:
    link = Proxy("127.0.0.1:1", "127.0.0.1:2")
    return InstanceProcess(name, "a", "127.0.0.1", folder, link)


async def test_a_hang_goes_before_a_refusal_while_both_hold(tmp_path) -> None:
    links = {
        name: Proxy(f"127.0.0.1:{number}", "127.0.0.1:9")
        for number, name in enumerate(("a", "b"))
    }
    instance, cuts = _make_instance(tmp_path), Cuts(links)
    with cuts.cutting([instance], ["a", "b"], Cut.REFUSE_NEW):
        assert instance.cuts.read_text() == "127.0.0.1:0 refuse\n127.0.0.1:1 refuse\n"
        with cuts.cutting([instance], ["b"], Cut.HANG):
            assert "127.0.0.1:1 hang" in instance.cuts.read_text()
            assert links["b"].blocked_sources == {instance.host}
        assert "127.0.0.1:1 refuse" in instance.cuts.read_text()
        assert not links["b"].blocked_sources
    assert instance.cuts.read_text() == ""
    assert [item.is_whole for item in cuts.partitions] == [True, False]


async def test_an_instance_connects_by_its_address_unless_cut_off(tmp_path) -> None:
    async with _running_proxy() as proxy:
        loop: Any = asyncio.get_running_loop()
        host, _, port = proxy.address.partition(":")
        source, cuts = next_host(), tmp_path / "cuts"
        connect = cut_connections(type(loop).create_connection, source, cuts)
        transport, _ = await connect(loop, asyncio.Protocol, host, int(port))
        assert transport.get_extra_info("sockname")[0] == source
        transport.abort()
        cuts.write_text(f"{proxy.address} refuse\n")
        with pytest.raises(ConnectionRefusedError):
            await connect(loop, asyncio.Protocol, host, int(port))
        cuts.write_text(f"{proxy.address} hang\n")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SOON_S):
                await connect(loop, asyncio.Protocol, host, int(port))


def _make_history(**partition: Any) -> tuple[PartitionHistory, InstanceProcess]:
    """Returns a history in which one of two instances is cut off from 10 s to 22 s."""
    instance, other = make_instance(), make_instance()
    other.name = "other"
    cut = Partition(instance, frozenset({"a"}), Cut.HANG, True, 10.0, 22.0)
    for name, value in partition.items():
        setattr(cut, name, value)
    return PartitionHistory([instance, other], Cuts({}, [cut])), instance


@pytest.mark.parametrize(
    ("failed", "started", "partition", "impaired", "is_broken"),
    [
        (FAILED_SLACK + 3, 10.0 + CONTACT_S, {}, None, True),
        (FAILED_SLACK, 10.0 + CONTACT_S, {}, None, False),
        (FAILED_SLACK + 3, 9.9 + CONTACT_S, {}, None, False),
        (FAILED_SLACK + 3, 22.1, {}, None, False),
        (FAILED_SLACK + 3, 15.0, {"is_whole": False}, None, False),
        (FAILED_SLACK + 3, 15.0, {}, "instance", False),
        (FAILED_SLACK + 3, 15.0, {}, "other", False),
        (FAILED_SLACK + 3, 21.9, {"ended": 22.0}, None, True),
    ],
)
async def test_first_tries_that_fail_at_an_instance_cut_off_break_an_invariant(
    failed, started, partition, impaired, is_broken
) -> None:
    history, instance = _make_history(**partition)
    for number in range(100):
        status = 503 if number < failed else 200
        attempt = make_attempt(instance, LOOKUP, status, started, started + 0.1)
        history.record([attempt, make_attempt(instance, LOOKUP, 200, started, 30.0)])
    if impaired is not None:
        history.records.impaired_at[impaired] = [started - 1.0]
    assert bool(history.find_unserved()) == is_broken


@pytest.mark.parametrize(
    ("late_s", "left_at", "is_broken"),
    [
        (CLOSE_BOUND_S + LATE_SLACK_S + 0.1, 16.0, True),
        (CLOSE_BOUND_S, 16.0, False),
        (CLOSE_BOUND_S + LATE_SLACK_S + 0.1, 22.1, False),
    ],
)
async def test_work_for_a_caller_that_has_left_breaks_an_invariant(
    late_s, left_at, is_broken
) -> None:
    history, instance = _make_history()
    history.departures = [
        make_attempt(instance, SHORT, 0, left_at - 0.2, left_at, "gone")
    ]
    worker = Worker("w")
    worker.ended_at_by_request = {"gone": left_at + late_s}
    assert bool(history.find_late_ends([worker])) == is_broken
