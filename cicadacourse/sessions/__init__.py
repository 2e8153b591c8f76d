"""Placeholder for the sessions family."""
