"""What an engine has loaded and who may change it."""

from __future__ import annotations

import attrs

from cicadacourse.util.clock import now
from standins.engine._messages import Order, State
from standins.engine._settings import EngineSettings


@attrs.define(kw_only=True)
class LoadedModel:
    """The model, version, adapter and role that an engine serves.

    :param checks_fencing: whether orders with an old token are refused.
    :param orders: every order that was taken, for tests.
    """

    settings: EngineSettings = EngineSettings()
    model: str = "base"
    model_version: int = 1
    adapter: str = ""
    role: str = "mixed"
    checks_fencing: bool = True
    last_token: int = -1
    orders: list[Order] = attrs.field(factory=list)
    _ready_at: float = float("-inf")

    @property
    def loading(self) -> bool:
        """Whether a load is under way."""
        return now() < self._ready_at

    def state(self) -> State:
        """Returns the state as the engine reports it."""
        return State(
            model=self.model,
            model_version=self.model_version,
            adapter=self.adapter,
            role=self.role,
            checks_fencing=self.checks_fencing,
            last_token=self.last_token,
            loading=self.loading,
        )

    def take(self, order: Order) -> bool:
        """Takes an order; returns whether the model itself changed."""
        self.orders.append(order)
        self.last_token = order.token
        wanted = (order.model, order.model_version)
        changed = wanted != (self.model, self.model_version)
        if changed:
            self._ready_at = now() + self.settings.model_load_s
        elif order.adapter != self.adapter:
            self._ready_at = now() + self.settings.adapter_load_s
        self.model, self.model_version = wanted
        self.adapter = order.adapter
        self.role = order.role
        return changed
