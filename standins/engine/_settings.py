"""How large and how fast an engine is."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class EngineSettings:
    """Size and speed of one engine.

    :param chunk_tokens: prompt tokens that one step takes at the most.
    :param step_s: fixed time of one step, in seconds.
    :param prefill_token_s: time per prompt token of a step.
    :param decode_stream_s: time per decoding stream of a step.
    :param context_token_s: time per token of the decoding streams' context.
    :param finished_keep_s: how long a finished session can be resumed.
    :param model_load_s: time to load a model, in seconds.
    :param adapter_load_s: time to load an adapter, in seconds.
    :param copy_tokens_per_s: speed at which KV cache moves between engines.
    """

    kv_capacity: int = 480_000
    max_streams: int = 64
    chunk_tokens: int = 2048
    step_s: float = 0.010
    prefill_token_s: float = 0.000_020
    decode_stream_s: float = 0.000_4
    context_token_s: float = 0.000_000_04
    finished_keep_s: float = 10.0
    model_load_s: float = 20.0
    adapter_load_s: float = 2.0
    copy_tokens_per_s: float = 1_000_000.0
    tokens_per_line: int = 1
    retry_after_s: float = 0.5
