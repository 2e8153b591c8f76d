"""Utilities that import nothing else from this package."""
