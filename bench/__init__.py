"""Load, measurement and demo programs."""
