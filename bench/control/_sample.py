"""Measured figures and the slopes through them."""

from __future__ import annotations

import contextlib
import gc
import time
import tracemalloc
from typing import Iterator, Sequence

import attrs
import numpy
import psutil


@attrs.frozen
class Sample:
    """What was measured at one size.

    :param matter: what was measured.
    :param size_name: what the size counts.
    :param size: how many.
    :param figures_by_name: the figures; names end in their unit.
    """

    matter: str
    size_name: str
    size: int
    figures_by_name: dict[str, float]


@attrs.frozen
class Slope:
    """A straight line through the samples of one figure, by least squares.

    :param at_zero: the figure at size 0.
    :param per_unit: what each further unit of size adds.
    """

    matter: str
    size_name: str
    figure: str
    at_zero: float
    per_unit: float


def fit(samples: Sequence[Sample]) -> list[Slope]:
    """Returns a slope for each figure of one matter's samples."""
    sizes = [sample.size for sample in samples]
    slopes = []
    for figure in samples[0].figures_by_name:
        values = [sample.figures_by_name[figure] for sample in samples]
        per_unit, at_zero = numpy.polyfit(sizes, values, 1)
        slopes.append(
            Slope(
                samples[0].matter,
                samples[0].size_name,
                figure,
                float(at_zero),
                float(per_unit),
            )
        )
    return slopes


class Meter:
    """Counts this process's processor time and resident memory from its making."""

    def __init__(self) -> None:
        self._cpu_s = time.process_time()
        self._memory_bytes = _resident_bytes()

    def cpu_ms(self) -> float:
        """Returns the processor time used since, in milliseconds."""
        return (time.process_time() - self._cpu_s) * 1000

    def memory_kb(self) -> float:
        """Returns by how much the resident memory grew, in kilobytes."""
        return (_resident_bytes() - self._memory_bytes) / 1000


class TracedMemory:
    """What Python objects made since take up and are still there."""

    def kb(self) -> float:
        """Returns it in kilobytes."""
        gc.collect()
        return tracemalloc.get_traced_memory()[0] / 1000


@contextlib.contextmanager
def traced_memory() -> Iterator[TracedMemory]:
    """Traces the memory of Python objects while the block runs."""
    gc.collect()
    tracemalloc.start()
    try:
        yield TracedMemory()
    finally:
        tracemalloc.stop()


def _resident_bytes() -> int:
    return psutil.Process().memory_info().rss
