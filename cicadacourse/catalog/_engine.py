"""The time model of a language-model engine: one for decisions and stand-in alike.

An engine works in passes. A pass with writing requests makes ``steps_per_pass`` tokens
for each of them and reads waiting prompts beside; a pass without makes one step.
"""

from __future__ import annotations

import attrs

_PER_MILLION = 1e-6
_PER_THOUSAND = 1e-3


@attrs.frozen
class EngineProfile:
    """How fast the engines of a pool work and how much they hold.

    :param slots: requests in progress at once.
    :param kv_tokens: tokens that the memory holds.
    :param steps_per_pass: tokens made for each writing request in one pass.
    :param step_s: seconds of one token step.
    :param step_per_writer_s: seconds added to a step by each writing request.
    :param step_per_1k_context_s: seconds added to a step by each thousand tokens of
        context of a writing request.
    :param read_tokens_per_s: prompt tokens read per second.
    :param read_per_1m_pairs_s: seconds added for each million pairs of a token and
        one before it.
    :param chunk_tokens: prompt tokens read in one step at the most.
    :param hop_s: seconds added to a step while a prompt is spread over engines.
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
        """Returns the seconds that one engine takes to read a whole prompt.

        >>> profile = EngineProfile(8, 450_000, 46, 0.0, 0.0, 0.0, 256e3, 1e-4, 2048)
        >>> round(profile.prefill_s(256_000), 1)
        4.3
        """
        pairs = tokens * tokens / 2
        linear_s = tokens / self.read_tokens_per_s
        return linear_s + pairs * _PER_MILLION * self.read_per_1m_pairs_s

    def pass_s(self, decode_streams: int, context_tokens: int) -> float:
        """Returns the seconds of a pass without any reading.

        :param decode_streams: requests that are writing.
        :param context_tokens: tokens of context of all of them.
        """
        if not decode_streams:
            return self.step_s
        step_s = self.step_s + decode_streams * self.step_per_writer_s
        step_s += context_tokens * _PER_THOUSAND * self.step_per_1k_context_s
        return step_s * self.steps_per_pass
