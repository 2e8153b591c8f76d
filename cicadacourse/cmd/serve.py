"""``cicadacourse serve``: run one instance."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import os
import pathlib
import signal
import sys
from typing import AsyncIterator, Iterator

import capnp
from returns.result import Failure, Success

from cicadacourse.application import Application
from cicadacourse.cmd import EXIT_ERROR, EXIT_OK, EXIT_USAGE
from cicadacourse.cmd._services import import_services
from cicadacourse.cmd._settings import read_settings
from cicadacourse.cmd._signals import termination
from cicadacourse.config import InstanceSettings, Settings
from cicadacourse.logs import (
    INSTANCE_FAILED,
    INSTANCE_LEAVING,
    INSTANCE_STARTED,
    INSTANCE_STOPPED,
    RELOAD_IGNORED,
    log,
)
from cicadacourse.metrics import Metrics
from cicadacourse.tasks import Tasks, watch_event_loop
from cicadacourse.util.clock import BoottimeEventLoop, time_to_tick
from cicadacourse.util.logging import FLUSH_PERIOD_S, JsonHandler, json_logging

SETTINGS_VARIABLE = "CICADACOURSE_BOOT"
# Services start in this order and stop in the reverse order.
SERVICES_IN_ORDER = (
    "resources",
    "store",
    "contacts",
    "peers",
    "catalog",
    "membership",
    "load",
    "evidence",
    "reachability",
    "eligibility",
    "permits",
    "limits",
    "quarantine",
    "feed",
    "relay",
    "endpoint_connector",
    "endpoint_caller",
    "proxy",
    "direct_memory_client",
    "memory_client",
    "reservations",
    "placement",
    "gateway",
    "ingress",
    "probes",
)


def get_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command."""
    parser = argparse.ArgumentParser(
        prog="cicadacourse serve",
        description="Run one instance until SIGTERM, then shut down gracefully.",
        epilog="exit status: 0 shut down gracefully, 1 could not run, 2 wrong settings",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        metavar="FILE",
        help=f"the instance's settings, INI (default: ${SETTINGS_VARIABLE})",
    )
    return parser


def main(argv: list[str]) -> int:
    """Runs the instance and returns its exit status."""
    # The default action of a reload signal would end the process while it starts.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = get_parser().parse_args(argv)
    path = arguments.settings or os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f"neither --settings nor ${SETTINGS_VARIABLE} is set", file=sys.stderr)
        return EXIT_USAGE
    import_services()
    match read_settings(pathlib.Path(path)):
        case Failure(errors):
            for error in errors:
                print(error.detail, file=sys.stderr)
            return EXIT_USAGE
        case Success(settings):
            pass
    instance = settings.get(InstanceSettings)
    with json_logging(instance.log_level, instance=instance.name) as handler:
        with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
            return runner.run(_run(settings, handler))


async def _run(settings: Settings, handler: JsonHandler) -> int:
    app = Application(settings)
    name = settings.get(InstanceSettings).name
    watch_event_loop(asyncio.get_running_loop(), app.metrics)
    try:
        async with capnp.kj_loop(), _flushing(handler, app.metrics):
            app.add_services(*SERVICES_IN_ORDER)
            with termination() as terminated, _logging_reloads():
                async with app.running():
                    _keep_started_objects()
                    log(INSTANCE_STARTED, pid=os.getpid())
                    await terminated.wait()
                    await _leave(app)
    except OSError as error:
        log(INSTANCE_FAILED, reason=str(error))
        return EXIT_ERROR
    log(INSTANCE_STOPPED, name=name)
    return EXIT_OK


def _keep_started_objects() -> None:
    """Exempts what the start has created from garbage collections.

    Modules and services live as long as the process. Looking at them would stop the
    event loop for some tens of milliseconds in each full collection.
    """
    gc.freeze()


async def _leave(app: Application) -> None:
    """Shuts down gracefully, within the time limits of the ingress service."""
    log(INSTANCE_LEAVING, in_progress=app.get("ingress").in_progress)
    await app.get("ingress").leave()


@contextlib.asynccontextmanager
async def _flushing(handler: JsonHandler, metrics: Metrics) -> AsyncIterator[None]:
    """Flushes buffered log lines once per period while it is open."""

    async def flush_periodically() -> None:
        while True:
            await asyncio.sleep(time_to_tick(FLUSH_PERIOD_S))
            handler.flush()

    tasks = Tasks(metrics, "log")
    tasks.keep("flush", flush_periodically)
    try:
        yield
    finally:
        await tasks.cancel()


@contextlib.contextmanager
def _logging_reloads() -> Iterator[None]:
    """Logs each SIGHUP while it is open; settings are read only at the start.

    The signal is ignored after the block, as it must not end the process either.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, log, RELOAD_IGNORED)
    try:
        yield
    finally:
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
