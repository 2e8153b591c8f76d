"""Slices of a prompt that is larger than one engine."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from typing import TYPE_CHECKING, Sequence

import attrs
from returns.result import Failure, Result, Success

from cicadacourse.endpoints import Endpoint
from cicadacourse.errors import Error
from cicadacourse.routing._model import Grant, Work, kv_limit
from cicadacourse.tables import Pool
from cicadacourse.util.clock import now
from cicadacourse.util.tokens import BYTES_PER_TOKEN

if TYPE_CHECKING:
    from cicadacourse.application import Application

SLICE_SLACK_TOKENS = 2
PREFILL_SLACK = 4.0


@attrs.frozen
class Slice:
    """One member's part of a prompt, as work of its own."""

    endpoint: Endpoint
    work: Work


async def prefill_group(
    app: Application, grant: Grant, prompt: str
) -> Result[None, Error]:
    """Prefills each member's slice of a prompt, all at the same time.

    The leader's slice is the last one; its answer starts from there.
    """
    client = app.get("endpoint_client")
    texts = split(prompt, [member.kv_tokens for member in grant.members])
    targets = [(one.endpoint, one.session) for one in grant.members]
    targets.append((grant.endpoint, grant.session))
    offsets = [0]
    for member in grant.members:
        offsets.append(offsets[-1] + member.kv_tokens - SLICE_SLACK_TOKENS)
    timeout_s = _prefill_timeout_s(app, grant)
    answers = await asyncio.gather(
        *(
            client.prefill(endpoint, session, text, offset, timeout_s)
            for (endpoint, session), text, offset in zip(targets, texts, offsets)
        )
    )
    for answer in answers:
        if isinstance(answer, Failure):
            return answer
    return Success(None)


def _prefill_timeout_s(app: Application, grant: Grant) -> float:
    """Returns the time after which a member is taken for stuck."""
    pool = app.get("tables").current().pools_by_name[grant.endpoint.pool]
    longest = max(member.kv_tokens for member in grant.members)
    expected_s = longest / pool.prefill_tokens_per_s
    stuck_s = expected_s * PREFILL_SLACK + pool.progress_timeout_s
    return max(0.0, min(stuck_s, grant.expires_at - now()))


def by_domain(endpoints: Sequence[Endpoint]) -> dict[str, list[Endpoint]]:
    """Returns endpoints by failure domain, each sorted by name."""
    endpoints_by_domain: dict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in sorted(endpoints, key=lambda one: one.name):
        endpoints_by_domain[endpoint.failure_domain].append(endpoint)
    return endpoints_by_domain


def cut(work: Work, pool: Pool, members: Sequence[Endpoint]) -> list[Slice]:
    """Returns equal slices over the first members, or none if they are too few.

    The first by name are those that long prompts are kept to.
    """
    count = max(2, math.ceil(work.kv_tokens / (kv_limit(pool) - SLICE_SLACK_TOKENS)))
    if count > len(members):
        return []
    slices = []
    prompt_left = work.prompt_tokens
    part_tokens = math.ceil(work.kv_tokens / count)
    for index, endpoint in enumerate(members[:count]):
        is_leader = index == count - 1
        tokens = prompt_left if is_leader else min(part_tokens, prompt_left)
        prompt_left -= tokens
        part = attrs.evolve(
            work,
            request_id=f"{work.request_id}.slice{index}",
            prompt_tokens=tokens + SLICE_SLACK_TOKENS,
            max_output_tokens=work.max_output_tokens if is_leader else 0,
            prefix=(),
        )
        slices.append(Slice(endpoint, part))
    return slices


def split(prompt: str, kv_tokens: Sequence[int]) -> list[str]:
    """Splits a prompt at characters near the members' shares; the rest is last."""
    body = prompt.encode()
    texts = []
    start = 0
    stop = 0
    for tokens in kv_tokens:
        stop += (tokens - SLICE_SLACK_TOKENS) * BYTES_PER_TOKEN
        cut = min(stop, len(body))
        while cut < len(body) and body[cut] & 0xC0 == 0x80:
            cut -= 1
        texts.append(body[start:cut].decode())
        start = cut
    texts.append(body[start:].decode())
    return texts
