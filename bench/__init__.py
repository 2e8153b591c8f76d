"""Measurements, a demo, and the generator of the reference pages."""
