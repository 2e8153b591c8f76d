"""``cicadacourse publish``: put new tables in force, or fetch those in force."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
import sys
from typing import AsyncIterator

import attrs
from returns.result import Failure, Success

from cicadacourse.catalog import Catalog
from cicadacourse.cmd import (
    EXIT_CONFLICT,
    EXIT_ERROR,
    EXIT_NOT_IN_FORCE,
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
)
from cicadacourse.cmd._arguments import (
    add_table_arguments,
    address_argument,
    addresses_argument,
    read_tables,
)
from cicadacourse.cmd._output import print_json, run_coroutine
from cicadacourse.cmd._status import fetch_first_status, versions_by_name
from cicadacourse.errors import Error, ErrorKind
from cicadacourse.metrics import Metrics
from cicadacourse.platform import Publisher, PublishOutcome, StoreClient, StoreSettings
from cicadacourse.tables import render_tables
from cicadacourse.util.clock import now
from cicadacourse.util.http import HttpClient

ANY_BASE = "any"
POLL_INTERVAL_S = 0.2

EXITS_BY_KIND = {
    ErrorKind.INVALID_TABLES: EXIT_ERROR,
    ErrorKind.VERSION_CONFLICT: EXIT_CONFLICT,
    ErrorKind.FORBIDDEN: EXIT_REFUSED,
    ErrorKind.STORE_UNAVAILABLE: EXIT_REFUSED,
    ErrorKind.STORE_OUTCOME_UNKNOWN: EXIT_UNKNOWN,
}


@attrs.frozen
class Rollout:
    """The instances on which a version is in force, and those on which it is not."""

    in_force: tuple[str, ...] = ()
    not_in_force: tuple[str, ...] = ()


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse publish",
        description="Put new tables in force, together. Without --organisations, the "
        "organisations and limits in force stay.",
        epilog="exit status: 0 in force in the store (and on every instance, with "
        "--wait), 1 faulty tables, 2 usage, 3 another version than --base is in force, "
        "4 not in force on every instance in time, 5 not accepted, 6 outcome unknown: "
        "run it again, which changes nothing if it was accepted",
    )
    add = parser.add_argument
    add(
        "--store",
        required=True,
        type=address_argument,
        help="the store's address for operators",
    )
    add_table_arguments(parser, required=False)
    add(
        "--fetch",
        type=pathlib.Path,
        metavar="FOLDER",
        help="write the tables in force into a folder, and publish nothing",
    )
    add(
        "--base",
        type=_parse_base,
        metavar="VERSION",
        help="the version that was edited, or 'any' to replace whichever is in force",
    )
    add("--wait", action="store_true", help="return once in force on every instance")
    add(
        "--instances",
        type=addresses_argument,
        default=(),
        metavar="ADDR,...",
        help="metrics addresses of some instances, for --wait",
    )
    add("--timeout-s", type=float, default=30.0, help="time limit of --wait, seconds")
    add("--json", action="store_true", help="print JSON")
    return parser


def main(argv: list[str]) -> int:
    """Publishes the tables; see the parser's epilog for the exit status."""
    parser = get_parser()
    arguments = parser.parse_args(argv)
    if arguments.fetch:
        return run_coroutine(_fetch(arguments))
    if not (arguments.routes and arguments.pools):
        parser.error("--routes and --pools are required")
    if arguments.base is None:
        parser.error("--base is required: the version that was edited, or 'any'")
    if arguments.wait and not arguments.instances:
        parser.error("--wait needs --instances")
    match read_tables(arguments):
        case Failure(errors):
            detail = "; ".join(error.detail for error in errors)
            return _print_error(arguments, Error(ErrorKind.INVALID_TABLES, detail))
        case Success(Catalog() as catalog):
            pass
    return run_coroutine(_publish(arguments, catalog))


def _parse_base(text: str) -> int | str:
    if text == ANY_BASE:
        return text
    if int(text) < 0:
        raise ValueError(text)
    return int(text)


@contextlib.asynccontextmanager
async def _publisher(arguments: argparse.Namespace) -> AsyncIterator[Publisher]:
    settings = StoreSettings(address=arguments.store)
    with contextlib.closing(StoreClient(settings, Metrics())) as store:
        yield Publisher(store)


async def _fetch(arguments: argparse.Namespace) -> int:
    """Writes the tables in force into a folder and prints their version."""
    async with _publisher(arguments) as publisher:
        match await publisher.read():
            case Failure(error):
                return _print_error(arguments, error)
            case Success(stored):
                pass
    texts = render_tables(stored.catalog)
    arguments.fetch.mkdir(parents=True, exist_ok=True)
    for name, text in (
        (texts.routes_file, texts.routes),
        (texts.pools_file, texts.pools),
        (texts.organisations_file, texts.organisations),
    ):
        (arguments.fetch / name).write_text(text, encoding="utf-8")
    version = stored.catalog.version
    if arguments.json:
        print_json({"version": version})
    else:
        print(f"version {version} is in force; edit it and publish with --base")
    return EXIT_OK


async def _publish(arguments: argparse.Namespace, catalog: Catalog) -> int:
    base = None if arguments.base == ANY_BASE else arguments.base
    async with _publisher(arguments) as publisher:
        keeps_organisations = arguments.organisations is None
        match await publisher.publish(catalog, base, keeps_organisations):
            case Failure(error):
                return _print_error(arguments, error)
            case Success(outcome):
                pass
    rollout = Rollout()
    if arguments.wait:
        rollout = await _wait_in_force(arguments, outcome.version)
    _print_outcome(arguments, outcome, rollout)
    return EXIT_NOT_IN_FORCE if rollout.not_in_force else EXIT_OK


async def _wait_in_force(arguments: argparse.Namespace, version: int) -> Rollout:
    """Polls an instance until it reports the version in force on every instance.

    Returns the last state seen if ``--timeout-s`` passes before that.
    """
    deadline = now() + arguments.timeout_s
    with contextlib.closing(HttpClient()) as http:
        while True:
            rollout = await _fetch_rollout(http, arguments.instances, version)
            if not rollout.not_in_force or now() + POLL_INTERVAL_S >= deadline:
                return rollout
            await asyncio.sleep(POLL_INTERVAL_S)


async def _fetch_rollout(
    http: HttpClient, addresses: tuple[str, ...], version: int
) -> Rollout:
    """Returns the rollout that the first instance to answer reports.

    If none answers, the addresses stand for the instances without the version.
    """
    match await fetch_first_status(http, addresses):
        case Success(status):
            versions = versions_by_name(status)
        case _:
            return Rollout(not_in_force=addresses)
    in_force = sorted(name for name, known in versions.items() if known >= version)
    return Rollout(tuple(in_force), tuple(sorted(set(versions) - set(in_force))))


def exit_status_of(error: Error) -> int:
    """Returns the exit status for a write to the store that has failed."""
    return EXITS_BY_KIND.get(error.kind, EXIT_ERROR)


def _print_error(arguments: argparse.Namespace, error: Error) -> int:
    if arguments.json:
        print_json({"accepted": False, "error": error.to_json()})
    else:
        print(f"{error.kind.value}: {error.detail}", file=sys.stderr)
    return exit_status_of(error)


def _print_outcome(
    arguments: argparse.Namespace, outcome: PublishOutcome, rollout: Rollout
) -> None:
    if arguments.json:
        print_json({**attrs.asdict(outcome), **attrs.asdict(rollout)})
        return
    state = "accepted" if outcome.has_changed else "in force already"
    print(f"{state}: version {outcome.version}")
    if arguments.wait:
        print(f"in force on: {', '.join(rollout.in_force) or 'none'}")
    if rollout.not_in_force:
        print(f"not in force on: {', '.join(rollout.not_in_force)}")
