"""What must hold around requests that crash endpoints."""

from __future__ import annotations

from typing import Iterable

import attrs

from soak._callers import Attempt
from standins.platform import Arrival

# Once endpoints have crashed often enough, and all instances had time to be told of it,
# few further requests of their kind may reach endpoints.
CONTACT_S = 3.0
MAX_LATER_REQUESTS = 3
# The share of sound requests that must be served in the end, with callers' retries.
MIN_SERVED_SHARE = 0.8


@attrs.define
class SoundRequests:
    """Counts the sound requests of a run and those that were served.

    :param name: what they are, for violations.
    """

    name: str
    sent: int = 0
    served: int = 0

    def record(self, attempts: list[Attempt]) -> None:
        """Records all attempts of one request."""
        self.sent += 1
        self.served += any(item.status == 200 for item in attempts)

    def find_unserved(self) -> list[str]:
        """Returns a line if too few were served."""
        if self.served >= MIN_SERVED_SHARE * self.sent:
            return []
        return [f"only {self.served} of {self.sent} {self.name} were served"]


def find_later_requests(
    name: str, crashed_at: list[float], enough: int, arrivals: Iterable[Arrival]
) -> list[str]:
    """Returns a line if too many requests reached endpoints after enough crashes.

    :param name: what the requests are.
    :param crashed_at: when endpoints crashed under them, loop times in seconds, in
        order.
    :param arrivals: those of the requests.
    """
    if len(crashed_at) < enough:
        return []
    since = crashed_at[enough - 1] + CONTACT_S
    later = sum(item.at > since for item in arrivals)
    if later <= MAX_LATER_REQUESTS:
        return []
    return [
        f"{later} requests with {name} under which {enough} endpoints had crashed"
        " reached endpoints"
    ]
