"""Measures what control costs one instance, and how it grows with the fleet."""

from bench.control._sample import Sample, Slope, fit

__all__ = ["Sample", "Slope", "fit"]
