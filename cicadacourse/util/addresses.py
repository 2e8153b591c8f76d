"""Network addresses in the form ``IP:port``."""

from __future__ import annotations

import functools

# Bounds the memory. The addresses of all other instances are split for each report.
MAX_KNOWN_ADDRESSES = 4096


@functools.lru_cache(maxsize=MAX_KNOWN_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Returns the IP address, without brackets, and the port.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
