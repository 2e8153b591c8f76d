"""The mixed load of the demo and the tally of its outcomes."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from typing import Any

import attrs

from cicadacourse.caller import COMPLETE, REFUSED, Caller, Reply
from cicadacourse.util.clock import now
from standins.engine import expected_text

SHORT = "short"
LONG = "long"
MILLION = "million"
BOOKING = "booking"

PROMPT_TOKENS_BY_KIND = {SHORT: 1_000, LONG: 100_000, MILLION: 1_000_000}
TIME_LIMIT_S_BY_KIND = {SHORT: 30.0, LONG: 60.0, MILLION: 150.0, BOOKING: 10.0}
MAX_TOKENS_BY_KIND = {SHORT: 32, LONG: 32, MILLION: 16}
BYTES_PER_TOKEN = 4
LATE_GRACE_S = 2.0


@attrs.frozen
class Plan:
    """One request of the load.

    :param kind: short, long, million or booking.
    :param after_s: when it is sent, in seconds from the load's start.
    """

    kind: str
    after_s: float
    fields: dict[str, Any]


@attrs.define
class Tally:
    """How the requests of one kind ended."""

    sent: int = 0
    complete: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: int = 0
    late: int = 0
    resumed: int = 0
    first_token_s: list[float] = attrs.Factory(list)
    seconds: list[float] = attrs.Factory(list)
    errors: list[str] = attrs.Factory(list)
    not_run: list[str] = attrs.Factory(list)

    def add(self, plan: Plan, reply: Reply) -> None:
        """Adds one reply."""
        self.sent += 1
        self.resumed += bool(reply.resumes)
        self.complete += reply.outcome == COMPLETE
        self.refused += reply.outcome == REFUSED
        self.unknown += reply.outcome not in (COMPLETE, REFUSED)
        self.wrong += reply.wrong or is_wrong(plan, reply)
        self.late += reply.seconds > plan.fields["time_limit_s"] + LATE_GRACE_S
        if reply.outcome == REFUSED:
            self.not_run.append(plan.fields["request_id"])
        if reply.outcome != COMPLETE:
            self.errors.append(f"{plan.fields['request_id']}: {reply.error}")
        if reply.outcome == COMPLETE:
            self.seconds.append(reply.seconds)
            if reply.first_token_s is not None:
                self.first_token_s.append(reply.first_token_s)


def is_wrong(plan: Plan, reply: Reply) -> bool:
    """Returns whether a complete reply is not the whole answer to its own request."""
    if reply.outcome != COMPLETE:
        return False
    if plan.kind == BOOKING:
        return reply.result["echo"] != plan.fields["prompt"]
    fields = plan.fields
    return reply.text != expected_text(fields["prompt"], fields["max_tokens"])


def make_prompt(rng: random.Random, tokens: int) -> str:
    """Returns a random prompt of so many tokens behind a shared prefix."""
    prefix = "You answer questions about roadworks and shuttles. " * 4
    body = rng.randbytes(tokens * BYTES_PER_TOKEN // 2).hex()
    return (prefix + body)[: tokens * BYTES_PER_TOKEN]


def plan_load(seed: int, count_by_kind: dict[str, int], spread_s: float) -> list[Plan]:
    """Returns the plans of a load, spread evenly at random over some seconds."""
    rng = random.Random(seed)
    plans = []
    for kind, count in count_by_kind.items():
        for index in range(count):
            fields = _fields(rng, kind, index)
            plans.append(Plan(kind, rng.uniform(0, spread_s), fields))
    return sorted(plans, key=lambda plan: plan.after_s)


def _fields(rng: random.Random, kind: str, index: int) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "organisation": f"organisation-{index % 5}",
        "time_limit_s": TIME_LIMIT_S_BY_KIND[kind],
        "request_id": f"{kind}-{index}-{secrets.token_hex(4)}",
    }
    if kind == BOOKING:
        key = f"{int(time.time())}-{secrets.token_hex(8)}"
        prompt = f"seat {index} on the shuttle of 18:00"
        return {**fields, "route": "booking", "prompt": prompt, "key": key} | {
            "repeatable": False
        }
    prompt = make_prompt(rng, PROMPT_TOKENS_BY_KIND[kind])
    max_tokens = MAX_TOKENS_BY_KIND[kind]
    return {**fields, "route": "chat", "prompt": prompt, "max_tokens": max_tokens}


async def run_load(addresses: list[str], plans: list[Plan]) -> dict[str, Tally]:
    """Sends every planned request and returns the tallies by kind."""
    tally_by_kind = {plan.kind: Tally() for plan in plans}
    started = now()

    async def send(plan: Plan, caller: Caller) -> None:
        await asyncio.sleep(max(started + plan.after_s - now(), 0))
        reply = await caller.ask(plan.fields)
        tally_by_kind[plan.kind].add(plan, reply)

    callers = [Caller(rotated(addresses, index)) for index in range(4)]
    try:
        async with asyncio.TaskGroup() as group:
            for index, plan in enumerate(plans):
                group.create_task(send(plan, callers[index % len(callers)]))
    finally:
        for caller in callers:
            caller.close()
    return tally_by_kind


def rotated(items: list[str], by: int) -> list[str]:
    """Returns the items from one index on, then those before it.

    >>> rotated(["a", "b", "c"], 1)
    ['b', 'c', 'a']
    """
    by %= len(items)
    return items[by:] + items[:by]
