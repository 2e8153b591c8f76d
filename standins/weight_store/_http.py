"""The weight store's HTTP interface."""

from __future__ import annotations

import attrs
import tornado.web

from standins._http import CoreHandler, make_app
from standins.weight_store._core import WeightStoreCore


class WeightsHandler(CoreHandler):
    """``/weights/<model>/<version>``: one load."""

    async def get(self, model: str, version: str) -> None:
        """Takes a load within the rate limit."""
        self.answer(attrs.asdict(await self.core.fetch(model, int(version))))


def weight_store_app(core: WeightStoreCore) -> tornado.web.Application:
    """Returns the application that serves a weight store."""
    return make_app(core, [(r"/weights/([^/]+)/(\d+)", WeightsHandler)])
