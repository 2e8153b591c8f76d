"""The two tables that operators write."""

from __future__ import annotations

import attrs

from cicadacourse.config import option, parse_bool, parse_name

KIND_GENERATE = "generate"
KIND_CALL = "call"


def generate_or_call(text: str) -> str:
    """Parses the kind of a route."""
    if text not in (KIND_GENERATE, KIND_CALL):
        raise ValueError(text)
    return text


@attrs.frozen(kw_only=True)
class Route:
    """One row of the table of routes, section ``[route NAME]``."""

    name: str = ""
    pool: str = option(parse_name, help="Pool that serves the route.")
    kind: str = option(
        generate_or_call,
        KIND_GENERATE,
        help="generate for model engines, call for plain services.",
    )
    max_prompt_tokens: int = option(
        int, 1_100_000, unit="tokens", minimum=1, maximum=4_000_000
    )
    max_output_tokens: int = option(
        int, 4096, unit="tokens", minimum=1, maximum=1_000_000
    )
    max_time_limit_s: float = option(
        float, 600.0, unit="seconds", minimum=0.1, maximum=86_400
    )
    organisation_rate: float = option(
        float,
        1_000_000.0,
        unit="tokens per second",
        minimum=0,
        maximum=1e12,
        help="Prompt and output tokens one organisation may ask for, on average.",
    )
    organisation_burst: float = option(
        float,
        4_000_000.0,
        unit="tokens",
        minimum=0,
        maximum=1e12,
        help="Tokens one organisation may ask for at once after a quiet time.",
    )


@attrs.frozen(kw_only=True)
class Pool:
    """One row of the table of pools, section ``[pool NAME]``."""

    name: str = ""
    group: str = option(parse_name, help="Group of the instance list to select from.")
    policy: str = option(parse_name, "default", help="Routing policy, by name.")
    model: str = option(parse_name, "base", help="Model that the engines must serve.")
    model_version: int = option(int, 1, minimum=1, help="Version of the model.")
    adapter: str = option(str, "", help="Adapter to load, or empty.")
    role: str = option(parse_name, "mixed", help="Role that the engines must take.")
    checks_fencing: bool = option(
        parse_bool, False, help="Whether endpoints refuse old fencing tokens."
    )
    kv_capacity_tokens: int = option(
        int, 480_000, unit="tokens", minimum=1, help="KV memory of one engine."
    )
    prefill_tokens_per_s: float = option(
        float, 40_000.0, unit="tokens per second", minimum=1, maximum=1e9
    )
    decode_tokens_per_s: float = option(
        float, 40.0, unit="tokens per second per stream", minimum=0.1, maximum=1e6
    )
    long_prompt_tokens: int = option(
        int, 32_000, unit="tokens", minimum=1, help="Prompts from this size are long."
    )
    long_share: float = option(
        float,
        0.5,
        minimum=0.0,
        maximum=1.0,
        help="Share of an engine's KV memory that long prompts may hold.",
    )
    max_in_progress: int = option(
        int, 64, minimum=1, help="Requests in progress per endpoint."
    )
    queue_limit: int = option(
        int, 256, minimum=0, help="Grants waiting per endpoint before refusal."
    )
    retry_budget: float = option(
        float, 0.1, minimum=0.0, maximum=1.0, help="Retries per first attempt."
    )
    eject_cap: float = option(
        float, 0.34, minimum=0.0, maximum=1.0, help="Share of endpoints ejected."
    )
    progress_timeout_s: float = option(
        float, 5.0, unit="seconds", minimum=0.1, help="Silence after which it is stuck."
    )


@attrs.frozen(kw_only=True)
class Tables:
    """Both tables in one version.

    :param version: offset, plus one, of the edit that brought it into force; 0 for
        none.
    :param edit_id: the id of that edit.
    :param author: who published it.
    """

    version: int = 0
    edit_id: str = ""
    author: str = ""
    routes_by_name: dict[str, Route] = attrs.Factory(dict)
    pools_by_name: dict[str, Pool] = attrs.Factory(dict)
