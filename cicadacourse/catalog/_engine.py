"""The time model of a language-model engine, shared with the simulated engines.

An engine works in passes. A pass with decoding streams generates ``steps_per_pass``
tokens for each of them and prefills waiting prompts besides; a pass without decoding
streams makes one step.
"""

from __future__ import annotations

import attrs

_PER_MILLION = 1e-6
_PER_THOUSAND = 1e-3


@attrs.frozen
class EngineProfile:
    """The speed and the capacity of the engines of a pool.

    :param slots: requests that an engine processes concurrently.
    :param kv_tokens: tokens that the KV cache holds.
    :param steps_per_pass: tokens generated for each decoding stream in one pass.
    :param step_s: seconds of one decode step.
    :param step_per_writer_s: seconds added to a step by each decoding stream.
    :param step_per_1k_context_s: seconds added to a step by each thousand tokens of
        context of a decoding stream.
    :param read_tokens_per_s: prompt tokens prefilled per second.
    :param read_per_1m_pairs_s: seconds of prefill added for each million pairs of a
        prompt token and a token before it (attention).
    :param chunk_tokens: the maximum number of prompt tokens prefilled in one step.
    :param hop_s: seconds added to a step while a prompt is split over several engines.
    :param models: names of the models that the pool serves.
    """

    slots: int
    kv_tokens: int
    steps_per_pass: int
    step_s: float
    step_per_writer_s: float
    step_per_1k_context_s: float
    read_tokens_per_s: float
    read_per_1m_pairs_s: float
    chunk_tokens: int
    hop_s: float = 0.0
    models: tuple[str, ...] = ()

    def prefill_s(self, tokens: int) -> float:
        """Returns the seconds that one engine takes to prefill a whole prompt.

        >>> profile = EngineProfile(8, 450_000, 46, 0.0, 0.0, 0.0, 256e3, 1e-4, 2048)
        >>> round(profile.prefill_s(256_000), 1)
        4.3
        """
        pairs = tokens * tokens / 2
        linear_s = tokens / self.read_tokens_per_s
        return linear_s + pairs * _PER_MILLION * self.read_per_1m_pairs_s

    def pass_s(self, decode_streams: int, context_tokens: int) -> float:
        """Returns the seconds of a pass without any prefill.

        :param decode_streams: the number of decoding streams.
        :param context_tokens: the context tokens of all of them together.
        """
        if not decode_streams:
            return self.step_s
        step_s = self.step_s + decode_streams * self.step_per_writer_s
        step_s += context_tokens * _PER_THOUSAND * self.step_per_1k_context_s
        return step_s * self.steps_per_pass
