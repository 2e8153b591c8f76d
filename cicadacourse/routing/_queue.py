"""The grants that wait for one endpoint, and the order in which they are made."""

from __future__ import annotations

import asyncio
from typing import Callable, Iterator

import attrs

from cicadacourse.routing._backlog import PrefillBacklog
from cicadacourse.routing._fair_share import FairShare
from cicadacourse.routing._ledger import START_WITHIN_S, Granted, Ledger, key_of
from cicadacourse.routing._model import PromptClass, Work, classify
from cicadacourse.routing._parts import Parts
from cicadacourse.routing._prefixes import PrefixMemory
from cicadacourse.tables import Pool

PREFILL_WINDOW_S = 0.25
PREFILL_STEP_DELAY = 0.67
MAX_PREFILL_DELAY = 1.5
STRETCH_WEIGHT = 0.2
MAX_STRETCH = 4.0
WAITER_GONE_S = 3.0
OUTPUT_TOKEN_COST = 10.0


@attrs.define(eq=False)
class Waiter:
    """One request for a grant that waits.

    :param kv_tokens: memory wanted.
    :param deadline: when the answer must be whole.
    :param latest_start: when it must be granted for that.
    :param asked_at: when the holder asked last; one that stops asking is gone.
    :param granted: resolved with the grant, or cancelled when it leaves the queue.
    """

    work: Work
    prompt_class: PromptClass
    kv_tokens: int
    deadline: float
    latest_start: float
    arrived_at: float
    asked_at: float
    granted: asyncio.Future[Granted]


class EndpointQueue:
    """Queue, ledger and estimates of one endpoint at its dispatcher.

    :param pool: the endpoint's pool, for its limits.
    :param parts: the parts of the policy that act.
    :param new_session: makes unique names of sessions.
    :param time: now, on the loop's clock.
    """

    def __init__(
        self, pool: Pool, parts: Parts, new_session: Callable[[Work], str], time: float
    ) -> None:
        self.pool = pool
        self.parts = parts
        self.ledger = Ledger()
        self._new_session = new_session
        self._backlog = PrefillBacklog(pool.prefill_tokens_per_s, time)
        self._prefixes = PrefixMemory(pool.kv_capacity_tokens // 2)
        self._shares = FairShare()
        self._waiters_by_key: dict[str, Waiter] = {}
        self._stretch = 1.0

    def __len__(self) -> int:
        return len(self._waiters_by_key)

    def set_pool(self, pool: Pool) -> None:
        """Goes by the limits of changed tables from now on."""
        self.pool = pool
        self._backlog.tokens_per_s = pool.prefill_tokens_per_s

    def priority(self, prompt_class: PromptClass) -> int:
        """Returns the priority passed to the engine."""
        return prompt_class.priority if self.parts.classes else 0

    def first_token_s(self, work: Work, time: float) -> float:
        """Estimates when the work would give its first token, in seconds."""
        prompt_class = classify(work, self.pool)
        priority = self.priority(prompt_class)
        engine_s = self._backlog.wait_s(priority, time) + self._prefill_s(work)
        queue_s = self._queued_s(work, priority)
        capacity = self.pool.kv_capacity_tokens
        memory_s = self.ledger.free_in_s(work.kv_tokens, capacity, time)
        if prompt_class.is_long and self.parts.long_share:
            memory_s = max(memory_s, self._long_wait_s(work.kv_tokens, time))
        return max(engine_s + queue_s, memory_s + self._prefill_s(work))

    def interference_s(self, work: Work, time: float) -> float:
        """Estimates how much the prefill of others would delay the work's tokens."""
        backlog_s = self._backlog.wait_s(0, time) + self._queued_s(work, 0)
        decode_s = work.max_output_tokens / self.pool.decode_tokens_per_s
        return min(backlog_s * PREFILL_STEP_DELAY, decode_s * MAX_PREFILL_DELAY)

    def needed_s(self, work: Work, time: float) -> float:
        """Estimates when the whole answer would be out, in seconds."""
        first_token_s = self.first_token_s(work, time)
        interference_s = self.interference_s(work, time)
        return first_token_s + max(
            self.decode_s(work), self.decode_s(work) / self._stretch + interference_s
        )

    def join(self, waiter: Waiter) -> None:
        """Adds a request to the queue."""
        self._waiters_by_key[key_of(waiter.work)] = waiter

    def find(self, key: str) -> Waiter | None:
        """Returns the waiting request of an attempt."""
        return self._waiters_by_key.get(key)

    def withdraw(self, key: str, time: float) -> None:
        """Takes a request out of the queue, and back if it was granted."""
        waiter = self._waiters_by_key.pop(key, None)
        if waiter is not None:
            waiter.granted.cancel()
        granted = self.ledger.find(key)
        if granted is not None:
            self.ledger.remove(granted.session, time)

    def take_back(self, session: str, time: float) -> bool:
        """Frees a grant's memory and learns from how long it was in use."""
        granted = self.ledger.remove(session, time)
        if granted is None:
            return False
        expected_s = max(granted.expected_end - granted.granted_at, 0.1)
        ratio = (time - granted.granted_at) * self._stretch / expected_s
        stretch = self._stretch + STRETCH_WEIGHT * (ratio - self._stretch)
        self._stretch = min(max(stretch, 1.0), MAX_STRETCH)
        return True

    def clear(self) -> None:
        """Sends every waiting request away."""
        for waiter in self._waiters_by_key.values():
            waiter.granted.cancel()
        self._waiters_by_key.clear()

    def grant_ready(self, time: float) -> None:
        """Makes every grant that fits now, in order."""
        self._drop_gone(time)
        for prompt_class in PromptClass:
            waiting = self._in_class(prompt_class)
            while waiting:
                waiter = min(waiting, key=self._order)
                if not self._fits(waiter, time):
                    break
                waiting.remove(waiter)
                self._grant(waiter, time)

    def ready_in_s(self, time: float) -> float | None:
        """Returns when the backlog lets a waiting class go on; None if it does now.

        What waits for memory is looked at when a grant comes back.
        """
        classes = {waiter.prompt_class for waiter in self._waiters_by_key.values()}
        waits = (
            self._backlog.wait_s(self.priority(one), time) - PREFILL_WINDOW_S
            for one in classes
        )
        return min((wait_s for wait_s in waits if wait_s > 0), default=None)

    def _in_class(self, prompt_class: PromptClass) -> list[Waiter]:
        waiters = self._waiters_by_key.values()
        if not self.parts.classes:
            return list(waiters) if prompt_class is PromptClass.SHORT else []
        return [one for one in waiters if one.prompt_class is prompt_class]

    def _order(self, waiter: Waiter) -> tuple[float, float]:
        if not self.parts.fair_share:
            return 0.0, waiter.arrived_at
        return self._shares.start(waiter.work.organisation), waiter.deadline

    def _fits(self, waiter: Waiter, time: float) -> bool:
        if len(self.ledger) >= self.pool.max_in_progress:
            return False
        free = self.pool.kv_capacity_tokens - self.ledger.kv_tokens
        if waiter.prompt_class.is_long and self.parts.long_share:
            return waiter.kv_tokens <= free and self._long_fits(waiter, time)
        priority = self.priority(waiter.prompt_class)
        if self._backlog.wait_s(priority, time) > PREFILL_WINDOW_S:
            return False
        return waiter.kv_tokens <= free - self._set_aside(time)

    def _long_fits(self, waiter: Waiter, time: float) -> bool:
        """Whether a long prompt fits its share; one alone may go beyond it."""
        if self._long_prefill_s(time) > PREFILL_WINDOW_S:
            return False
        held = self.ledger.long_kv_tokens
        return held == 0 or held + waiter.kv_tokens <= self._long_limit

    def _set_aside(self, time: float) -> int:
        """Returns memory that others leave to the long prompt that waits."""
        if not self.parts.long_share or self._long_prefill_s(time) > PREFILL_WINDOW_S:
            return 0
        wanted = (one.kv_tokens for one in self._long_waiters())
        left = max(0, self._long_limit - self.ledger.long_kv_tokens)
        return min(max(wanted, default=0), left)

    def _long_waiters(self) -> Iterator[Waiter]:
        waiters = self._waiters_by_key.values()
        return (one for one in waiters if one.prompt_class.is_long)

    @property
    def _long_limit(self) -> int:
        return int(self.pool.kv_capacity_tokens * self.pool.long_share)

    def _long_prefill_s(self, time: float) -> float:
        return self._backlog.empty_in_s(PromptClass.LONG.priority, time)

    def _long_wait_s(self, kv_tokens: int, time: float) -> float:
        wait_s = self._long_prefill_s(time)
        if self.ledger.long_kv_tokens + kv_tokens > self._long_limit:
            free = self.ledger.kv_tokens - self.ledger.long_kv_tokens
            limit = max(self._long_limit, kv_tokens)
            wait_s = max(wait_s, self.ledger.free_in_s(kv_tokens, limit + free, time))
        return wait_s

    def _queued_s(self, work: Work, priority: int) -> float:
        """Returns the prefill time of the others that wait and may go first."""
        own_key = key_of(work)
        return sum(
            self._prefill_s(one.work)
            for key, one in self._waiters_by_key.items()
            if key != own_key and self.priority(one.prompt_class) >= priority
        )

    def decode_s(self, work: Work) -> float:
        """Returns how long the answer would take after the first token.

        Scaled by how much longer than expected recent grants were in use.
        """
        decode_s = work.max_output_tokens / self.pool.decode_tokens_per_s
        return decode_s * self._stretch

    def service_s(self, work: Work) -> float:
        """Returns how long the answer would take if it started now."""
        return self._prefill_s(work) + self.decode_s(work)

    def _prefill_s(self, work: Work) -> float:
        return self._uncached(work) / self.pool.prefill_tokens_per_s

    def _uncached(self, work: Work) -> int:
        if not self.parts.affinity:
            return work.prompt_tokens
        cached = self._prefixes.cached_tokens(work.prefix)
        return max(1, work.prompt_tokens - cached)

    def _grant(self, waiter: Waiter, time: float) -> None:
        work = waiter.work
        del self._waiters_by_key[key_of(work)]
        granted = self._new_grant(waiter, time)
        self.ledger.add(granted)
        uncached = self._uncached(work)
        self._backlog.add(self.priority(waiter.prompt_class), uncached, time)
        self._prefixes.add(work.prefix)
        cost = uncached + OUTPUT_TOKEN_COST * work.max_output_tokens
        self._shares.charge(work.organisation, cost)
        if not waiter.granted.done():
            waiter.granted.set_result(granted)

    def _new_grant(self, waiter: Waiter, time: float) -> Granted:
        work = waiter.work
        wait_s = self._backlog.wait_s(self.priority(waiter.prompt_class), time)
        return Granted(
            session=self._new_session(work),
            key=key_of(work),
            prompt_class=waiter.prompt_class,
            kv_tokens=waiter.kv_tokens,
            granted_at=time,
            start_by=time + START_WITHIN_S,
            expected_end=time + wait_s + self.service_s(work),
        )

    def _drop_gone(self, time: float) -> None:
        for key, waiter in list(self._waiters_by_key.items()):
            gone = time - waiter.asked_at > WAITER_GONE_S
            if gone or time > waiter.latest_start:
                self.withdraw(key, time)
        waiters = self._waiters_by_key.values()
        self._shares.forget_idle(one.work.organisation for one in waiters)
