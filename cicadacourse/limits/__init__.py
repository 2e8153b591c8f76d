"""Placeholder for the limits family."""
