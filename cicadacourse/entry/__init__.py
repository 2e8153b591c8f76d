"""Placeholder for the entry family."""
