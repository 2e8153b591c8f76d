"""What is asked of routing and what it grants."""

from __future__ import annotations

import enum

import attrs

from cicadacourse.endpoints import Endpoint
from cicadacourse.tables import Pool

SHORT_PART_OF_LONG = 4
SINGLE_ENGINE_PART = 0.85
PREFIX_BLOCKS = 32


class PromptClass(enum.Enum):
    """Classes of prompts by length; the value is the metrics' label."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    HUGE = "huge"

    @property
    def priority(self) -> int:
        """The priority passed to engines; higher goes first."""
        return PRIORITIES_BY_CLASS[self]

    @property
    def is_long(self) -> bool:
        """Whether the class is held to the share of long prompts."""
        return self in (PromptClass.LONG, PromptClass.HUGE)


PRIORITIES_BY_CLASS: dict[PromptClass, int] = {
    PromptClass.SHORT: 3,
    PromptClass.MEDIUM: 2,
    PromptClass.LONG: 1,
    PromptClass.HUGE: 0,
}


class Outcome(enum.Enum):
    """How the use of a grant ended."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    ABANDONED = "abandoned"


@attrs.frozen
class Work:
    """One attempt of a request that needs an endpoint.

    :param request_id: the request's id.
    :param attempt: the number of the attempt, from 1.
    :param organisation: who asks.
    :param pool: the name of the pool that serves it.
    :param prompt_tokens: length of the prompt, with the text already emitted.
    :param max_output_tokens: the most tokens that may still be generated.
    :param prefix: chained hashes of the prompt's first blocks.
    """

    request_id: str
    attempt: int
    organisation: str
    pool: str
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prefix: tuple[int, ...] = ()

    @property
    def kv_tokens(self) -> int:
        """KV memory that the work may come to hold, in tokens."""
        return self.prompt_tokens + self.max_output_tokens


@attrs.frozen
class GroupMember:
    """One endpoint's part of a prompt that is larger than an engine.

    :param endpoint: the engine.
    :param session: the name of its session.
    :param kv_tokens: KV memory reserved there, in tokens.
    """

    endpoint: Endpoint
    session: str
    kv_tokens: int


@attrs.frozen
class Grant:
    """Leave to run one attempt on one endpoint.

    :param session: name of the engine's session, unique to the grant.
    :param endpoint: where to run it; the leader of a group.
    :param members: the group's other endpoints, empty unless the prompt is larger
        than one engine.
    :param priority: the engine's priority, higher first.
    :param expires_at: when the grant lapses if the session has not been started,
        on the clock of this instance.
    :param dispatcher: the instance that granted it, or empty if none was reachable
        and the engine's own admission decides.
    :param attempt: the attempt it was granted for.
    """

    session: str
    endpoint: Endpoint
    members: tuple[GroupMember, ...] = ()
    priority: int = 0
    expires_at: float = 0.0
    dispatcher: str = ""
    attempt: int = 1


def kv_limit(pool: Pool) -> int:
    """Returns the KV memory, in tokens, that one request may hold on one engine."""
    return int(pool.kv_capacity_tokens * SINGLE_ENGINE_PART)


def classify(work: Work, pool: Pool) -> PromptClass:
    """Returns the class of a request's prompt in a pool.

    >>> classify(Work("r", 1, "o", "p", prompt_tokens=1_000), Pool(group="g")).value
    'short'
    >>> classify(Work("r", 1, "o", "p", 1_000_000), Pool(group="g")).value
    'huge'
    """
    if work.kv_tokens > kv_limit(pool):
        return PromptClass.HUGE
    if work.prompt_tokens >= pool.long_prompt_tokens:
        return PromptClass.LONG
    if work.prompt_tokens >= pool.long_prompt_tokens // SHORT_PART_OF_LONG:
        return PromptClass.MEDIUM
    return PromptClass.SHORT
