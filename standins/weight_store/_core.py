"""The weight store in memory, on the loop's clock."""

from __future__ import annotations

import attrs

from standins._bucket import TokenBucket
from standins._faults import Faults
from standins._refusal import Refusal

DEFAULT_LOADS_PER_S = 0.2
DEFAULT_BURST = 2.0
MODEL_BYTES = 16_000_000_000
LOAD_S = 20.0


class WeightStoreRefusal(Refusal):
    """The weight store's refusal of one load."""


@attrs.define
class WeightStoreFaults(Faults):
    """The weight store's faults.

    :param down: every load fails.
    """

    down: bool = False


@attrs.frozen(kw_only=True)
class Weights:
    """What a load costs.

    :param bytes: size of the weights.
    :param seconds: how long the load takes.
    """

    bytes: int
    seconds: float


class WeightStoreCore:
    """Lets loads through at a limited rate.

    :param loads_per_s: loads per second on average.
    :param burst: loads at once after a quiet time.
    """

    def __init__(
        self, loads_per_s: float = DEFAULT_LOADS_PER_S, burst: float = DEFAULT_BURST
    ) -> None:
        self.faults = WeightStoreFaults()
        self.loads: list[tuple[str, int]] = []
        self._bucket = TokenBucket(loads_per_s, burst)

    async def fetch(self, model: str, version: int) -> Weights:
        """Takes one load of a model's version.

        :raises WeightStoreRefusal: 429 above the rate, 503 if the store is down.
        """
        await self.faults.pause()
        if self.faults.down:
            raise WeightStoreRefusal(503)
        wait_s = self._bucket.take()
        if wait_s:
            raise WeightStoreRefusal(429, retry_after_s=wait_s)
        self.loads.append((model, version))
        return Weights(bytes=MODEL_BYTES, seconds=LOAD_S)
