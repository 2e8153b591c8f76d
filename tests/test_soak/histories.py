"""Recorded histories of soaks, made up for the tests of the checks."""

from __future__ import annotations

import pathlib
from typing import Mapping

from soak._callers import Attempt, RequestKind
from soak._instances import InstanceProcess
from soak._proxy import Proxy
from standins.callers import Response


def make_instance() -> InstanceProcess:
    """Returns an instance that is never started."""
    links = [Proxy("127.0.0.1:1", "127.0.0.1:2") for _ in range(2)]
    return InstanceProcess("instance", "a", "127.0.0.1", pathlib.Path(), *links)


def make_attempt(
    instance: InstanceProcess,
    kind: RequestKind,
    status: int,
    started: float,
    ended: float,
    id: str = "id",
    headers: Mapping[str, str] | None = None,
) -> Attempt:
    """Returns an attempt.

    :param status: that of its complete response; 0 if there was none.
    :param started: when it was sent, loop time in seconds.
    :param ended: when its response or its connection ended, loop time in seconds.
    """
    response = Response(status, dict(headers or {}), b"", True) if status else None
    return Attempt(id, kind, instance, "key", response, started, ended)
