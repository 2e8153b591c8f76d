"""The machine of an instance, and one account of what callers make it hold.

Importing it declares the settings section ``resources``.
"""

from cicadacourse.resources._settings import ResourceSettings

__all__ = ["ResourceSettings"]
