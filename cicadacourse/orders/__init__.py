"""Placeholder for the orders family."""
