"""Placeholder for the claims family."""
