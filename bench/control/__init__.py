"""Measures the cost of control traffic on one instance by the size of the fleet."""

from bench.control._sample import Sample, Slope, fit

__all__ = ["Sample", "Slope", "fit"]
