"""Tests of ``publish``, ``show`` and ``ask`` with a running instance."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
from typing import AsyncIterator

import attrs
import pytest

from cicadacourse.catalog import CatalogSettings
from cicadacourse.cmd import main
from standins.platform import HOST, KEY, Fleet, WorkerFaults, make_configuration
from standins.ports import next_host
from tests.platform_fleet import (
    Instance,
    make_instance,
    running_fleet,
    running_instance,
    wait_until,
)
from tests.scripted_server import scripted_server

NEW_ROUTE = """
[route again]
host = fleet.example
path_prefix = /again/
kind = safe
pool = plain
"""


@attrs.define
class Deployment:
    """A deployment with one instance, and a folder for its tables."""

    fleet: Fleet
    instance: Instance
    folder: pathlib.Path

    async def command(self, *arguments: str) -> int:
        """Runs a command in its own thread, because it starts its own event loop."""
        return await asyncio.to_thread(main, list(arguments))

    async def fetch(self) -> int:
        """Writes the tables in force into the folder."""
        store = self.fleet.operators_address
        return await self.command(
            "publish", "--store", store, "--fetch", str(self.folder)
        )

    async def publish(self, base: str, *more: str) -> int:
        """Publishes the tables of the folder."""
        tables = []
        for name in ("routes", "pools", "organisations"):
            tables += [f"--{name}", f"{self.folder}/{name}.ini"]
        store = self.fleet.operators_address
        return await self.command(
            "publish", "--store", store, "--base", base, *tables, *more
        )

    async def evacuate(self, *more: str) -> int:
        """Evacuates the failure domain ``b``, or takes that back."""
        store = self.fleet.operators_address
        return await self.command("evacuate", "b", "--store", store, *more)

    async def show(self, *more: str) -> int:
        """Shows the status of the instance."""
        return await self.command("show", "--instances", self.metrics_address, *more)

    async def ask(self, *more: str) -> int:
        """Sends one request as a caller."""
        directory = f"{self.instance.host}:{self.instance.directory_port}"
        common = ["--directories", directory, "--host", HOST]
        return await self.command("ask", *common, *more)

    @property
    def metrics_address(self) -> str:
        """The address at which the instance reports its status."""
        return f"{self.instance.host}:{self.instance.metrics_port}"


@contextlib.asynccontextmanager
async def running_deployment(folder: pathlib.Path) -> AsyncIterator[Deployment]:
    """Runs a deployment with one instance."""
    async with running_fleet() as fleet:
        instance = make_instance(
            fleet,
            "one",
            next_host(),
            sections=(CatalogSettings(evacuation_bound_ms=2000),),
        )
        async with running_instance(instance):
            yield Deployment(fleet, instance, folder)


async def test_fetched_and_edited_tables_come_in_force_on_every_instance(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async with running_deployment(tmp_path) as deployment:
        assert await deployment.fetch() == 0
        assert "version 1 is in force" in capsys.readouterr().out
        routes = tmp_path / "routes.ini"
        routes.write_text(routes.read_text() + NEW_ROUTE)
        wait_arguments = ("--wait", "--instances", deployment.metrics_address, "--json")
        assert await deployment.publish("1", *wait_arguments) == 0
        printed = json.loads(capsys.readouterr().out)
        assert (printed["version"], printed["in_force"]) == (2, ["one"])
        assert await deployment.ask("--path", "/again/x", "--key", KEY) == 0
        assert await deployment.publish("1") == 0
        assert "in force already: version 2" in capsys.readouterr().out


async def test_a_failure_domain_is_evacuated_and_taken_back(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async with running_deployment(tmp_path) as deployment:
        evacuations = deployment.instance.app.get("catalog").evacuations
        assert await deployment.evacuate() == 0
        await wait_until(lambda: "b" in evacuations)
        assert await deployment.show("evacuations") == 0
        shown = capsys.readouterr().out
        assert "failure domain b is evacuated" in shown
        assert "evacuations (as one sees them)" in shown
        assert await deployment.evacuate("--withdraw") == 0
        await wait_until(lambda: "b" not in evacuations)


async def test_publish_over_a_newer_version_exits_with_3(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """An edit of an old version must not overwrite the tables published since."""
    async with running_deployment(tmp_path) as deployment:
        await deployment.fetch()
        routes = tmp_path / "routes.ini"
        routes.write_text(routes.read_text() + NEW_ROUTE)
        assert await deployment.publish("0") == 3
        assert "version 1 is in force" in capsys.readouterr().err
        assert await deployment.publish("any") == 0


async def test_faulty_tables_are_not_sent_to_the_store(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Errors in the tables are found before the store is called to publish them."""
    async with running_deployment(tmp_path) as deployment:
        await deployment.fetch()
        routes = tmp_path / "routes.ini"
        routes.write_text(routes.read_text().replace("pool = ", "pool = no-"))
        calls = deployment.fleet.store.calls
        assert await deployment.publish("1") == 1
        assert "expected a pool's name" in capsys.readouterr().err
        assert deployment.fleet.store.calls - calls < 10


async def test_wait_reports_an_instance_without_the_version(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """``--wait`` must not report success if an instance can't be asked in time."""
    async with running_deployment(tmp_path) as deployment:
        await deployment.fetch()
        wait_arguments = ("--wait", "--instances", "127.0.0.1:1", "--timeout-s", "0.1")
        assert await deployment.publish("1", *wait_arguments) == 4
        assert "not in force on: 127.0.0.1:1" in capsys.readouterr().out


async def test_show_prints_the_status_of_an_instance_without_keys(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async with running_deployment(tmp_path) as deployment:
        assert await deployment.show() == 0
        printed = capsys.readouterr().out
        assert "one has version 1 in force" in printed
        assert "engine-0" in printed and "/ask/" in printed
        assert KEY not in printed
        assert await deployment.show("--json") == 0
        status = json.loads(capsys.readouterr().out)
        assert status["members"][0]["configuration_version"] == 1
        assert len(status["endpoints"]) == 5


async def test_show_exits_with_1_if_no_instance_answers(
    capsys: pytest.CaptureFixture[str],
) -> None:
    arguments = ["show", "--instances", "127.0.0.1:1"]
    assert await asyncio.to_thread(main, arguments) == 1
    assert "127.0.0.1:1" in capsys.readouterr().out


async def test_ask_prints_the_response_and_whether_a_request_ran(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async with running_deployment(tmp_path) as deployment:
        stream = ("--path", "/ask/x", "--key", KEY, "--prompt-tokens", "4000")
        assert await deployment.ask(*stream, "--max-tokens", "92") == 0
        assert capsys.readouterr().out.count("data: ") == 2
        assert await deployment.ask("--path", "/book/x", "--key", "wrong") == 5
        assert "status 401" in capsys.readouterr().err
        huge = ("--prompt-tokens", "30000000", "--time-limit-s", "1", "--json")
        assert await deployment.ask("--path", "/ask/x", "--key", KEY, *huge) == 5
        outcome = json.loads(capsys.readouterr().out)
        assert (outcome["status"], outcome["has_run"]) == (503, False)


async def test_ask_exits_with_5_for_a_refusal_that_no_retry_changes(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Only refusals that invite a retry were told from requests that ran."""
    refusals = [
        (401, ("--path", "/book/x", "--key", "wrong")),
        (404, ("--path", "/nowhere/x", "--key", KEY)),
        (413, ("--path", "/book/x", "--key", KEY, "--body", "x" * 4001)),
    ]
    async with running_deployment(tmp_path) as deployment:
        deployment.fleet.configure(make_configuration(2, limits={"maxBodyBytes": 4000}))
        catalog = deployment.instance.app.get("catalog")
        await wait_until(lambda: catalog.catalog.version == 2)
        for status, arguments in refusals:
            assert await deployment.ask(*arguments, "--json") == 5
            outcome = json.loads(capsys.readouterr().out)
            assert (outcome["status"], outcome["has_run"]) == (status, False)
            assert (outcome["attempts"], outcome["is_whole"]) == (1, True)
            assert outcome["detail"]


async def test_ask_exits_with_6_for_an_error_response_of_an_endpoint(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async with running_deployment(tmp_path) as deployment:
        for endpoint in deployment.fleet.endpoint_by_id.values():
            endpoint.worker.faults = WorkerFaults(error_rate=1.0)
        assert await deployment.ask("--path", "/book/x", "--key", KEY) == 6
        printed = capsys.readouterr()
        assert "answer to" in printed.out and "status 500" in printed.err


@pytest.mark.parametrize(
    ("status", "body"),
    [(404, {"detail": "none"}), (400, {}), (502, {"run": "unknown"}), (404, [])],
)
async def test_ask_exits_with_6_unless_the_response_says_that_it_has_not_run(
    status: int, body: object
) -> None:
    def script(method: str, uri: str, _: bytes) -> tuple[int, object]:
        if method == "GET":
            return 200, {"addresses": [address]}
        return status, body

    with scripted_server(script) as address:
        arguments = ["ask", "--directories", address, "--host", "h", "--path", "/x"]
        assert await asyncio.to_thread(main, arguments) == 6


async def test_ask_exits_with_1_if_no_instance_is_found(
    capsys: pytest.CaptureFixture[str],
) -> None:
    arguments = ["ask", "--directories", "127.0.0.1:1", "--host", "h", "--path", "/"]
    assert await asyncio.to_thread(main, arguments) == 1
    assert "127.0.0.1:1" in capsys.readouterr().err
