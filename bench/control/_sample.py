"""Measured figures and the lines fitted through them."""

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
    """The figures of one measurement at one size.

    :param matter: the name of the measurement.
    :param size_name: what the size counts, for example members.
    :param size: the size.
    :param figures_by_name: the measured values by name; the name has the unit.
    """

    matter: str
    size_name: str
    size: int
    figures_by_name: dict[str, float]


@attrs.frozen
class Slope:
    """A straight line through the samples of one figure, by least squares.

    :param at_zero: the value at size 0.
    :param per_unit: the increase per unit of size.
    """

    matter: str
    size_name: str
    figure: str
    at_zero: float
    per_unit: float


def fit(samples: Sequence[Sample]) -> list[Slope]:
    """Returns a line for each figure in the samples of one measurement."""
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
    """Measures this process's processor time and resident memory since its creation."""

    def __init__(self) -> None:
        self._cpu_s = time.process_time()
        self._memory_bytes = _resident_bytes()

    def cpu_ms(self) -> float:
        """Returns the processor time used since the creation, in milliseconds."""
        return (time.process_time() - self._cpu_s) * 1000

    def memory_kb(self) -> float:
        """Returns by how many kilobytes the resident memory grew since the creation."""
        return (_resident_bytes() - self._memory_bytes) / 1000


class TracedMemory:
    """The memory of live Python objects that were created while tracing."""

    def kb(self) -> float:
        """Returns the traced memory in kilobytes."""
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
