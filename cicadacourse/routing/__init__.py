"""Placeholder for the routing family."""
