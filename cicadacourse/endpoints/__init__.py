"""Placeholder for the endpoints family."""
