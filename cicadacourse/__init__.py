"""Serving layer for one shared fleet of language-model engines."""

__version__ = "0.1.0"
