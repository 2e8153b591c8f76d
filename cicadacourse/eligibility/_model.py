"""Why an endpoint may not be used now, and the base of the rules that decide it."""

from __future__ import annotations

import abc
from typing import Callable, TypeAlias

import attrs

from cicadacourse.application import Application
from cicadacourse.catalog import Endpoint
from cicadacourse.registry import Registry

# The regions that may serve a request; None if all may.
AllowedRegions: TypeAlias = frozenset[str] | None

NEVER = float("inf")


@attrs.frozen
class Obstacle:
    """A reason for which an endpoint may not be used.

    :param reason: the label for refusals, logs and metrics.
    :param detail: the reason in words.
    :param until: when it ends, loop time in seconds; infinity if no time is known.
    """

    reason: str
    detail: str
    until: float = NEVER


class Rule(abc.ABC):
    """One rule that keeps endpoints from being used.

    A rule binds every way on which something new is sent to an endpoint. What a request
    in progress needs, such as renewing its KV cache, is sent nevertheless.

    :param on_change: called after each change of what the rule knows.
    """

    def __init__(self, app: Application, on_change: Callable[[], None]) -> None:
        self.app = app
        self.on_change = on_change

    @abc.abstractmethod
    def may_bind(self, regions: AllowedRegions) -> bool:
        """Returns whether the rule may keep any endpoint from a request now.

        It is called for each choice, before the endpoints are looked at.
        """

    @abc.abstractmethod
    def find_obstacle(
        self, endpoint: Endpoint, regions: AllowedRegions
    ) -> Obstacle | None:
        """Returns why an endpoint may not get a request now, or None if it may.

        :param regions: the regions that may serve the request.
        """


RULES: Registry[type[Rule]] = Registry("rule of eligibility")
