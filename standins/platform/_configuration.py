"""The configuration of a small deployment, in the platform's format."""

from __future__ import annotations

from typing import Any

from cicadacourse.catalog import EngineProfile

PROFILE = EngineProfile(
    slots=8,
    kv_tokens=450_000,
    steps_per_pass=46,
    step_s=0.000925,
    step_per_writer_s=0.00000966,
    step_per_1k_context_s=0.00000254,
    read_tokens_per_s=256_000.0,
    read_per_1m_pairs_s=0.0000917,
    chunk_tokens=2048,
    hop_s=0.0001,
    models=("m",),
)
HOST = "fleet.example"
ENGINE_POOL = "engines"
PLAIN_POOL = "plain"
KEY = "key-of-acme"
ORGANISATION = "acme"


def make_configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Returns a configuration in the platform's format, with three routes.

    :param fields: top-level fields that are added or replaced.
    """
    engine = {
        "slots": PROFILE.slots,
        "kvTokens": PROFILE.kv_tokens,
        "stride": PROFILE.steps_per_pass,
        "step_ms": PROFILE.step_s * 1000,
        "per_seq_ms": PROFILE.step_per_writer_s * 1000,
        "context_per_k": PROFILE.step_per_1k_context_s * 1000,
        "read_per_s": PROFILE.read_tokens_per_s,
        "pairs_per_m": PROFILE.read_per_1m_pairs_s * 1000,
        "chunk": PROFILE.chunk_tokens,
        "hopMs": PROFILE.hop_s * 1000,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": [
            _route("stream", "/ask/", "streaming", ENGINE_POOL, 2, resumable=True),
            _route("book", "/book/", "unsafe", PLAIN_POOL, 1),
            _route("look", "/look/", "safe", PLAIN_POOL, 2),
        ],
        "services": [
            {"name": ENGINE_POOL, "healthPath": "/health", "engine": engine},
            {"name": PLAIN_POOL, "healthPath": "/health"},
        ],
        "tenants": [{"name": ORGANISATION, "apiKeys": [KEY], "priority": 1}],
        **fields,
    }


def _route(
    name: str, prefix: str, kind: str, pool: str, attempts: int, **fields: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 300,
        "gapTargetMs": 200,
        "priority": 1,
        "service": pool,
        "maxAttempts": attempts,
        "public": False,
        **fields,
    }
