"""The parts of the default policy, each of which a measurement can switch off."""

from __future__ import annotations

import attrs


@attrs.frozen
class Parts:
    """Which parts of the default policy act.

    :param affinity: candidates by prefix, and prefixes counted as cached.
    :param placement: a part of the engines kept for each class of prompts.
    :param classes: short prompts before long ones, here and in engines.
    :param long_share: a bounded share of memory and prefill for long prompts.
    :param fair_share: the organisation that got least goes first.
    :param deadlines: refusal at once when the deadline can't be met.
    :param probing: estimates of several endpoints before one is asked.
    """

    affinity: bool = True
    placement: bool = True
    classes: bool = True
    long_share: bool = True
    fair_share: bool = True
    deadlines: bool = True
    probing: bool = True
