"""Measurements, the demo and the reference pages."""
