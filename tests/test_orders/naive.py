"""Orders without one of the rules that keep a lease with one holder."""

from __future__ import annotations

from cicadacourse.orders import Orders
from cicadacourse.orders._holder import LeaseHolder
from cicadacourse.util.clock import now


class UncheckedHolder(LeaseHolder):
    """Believes in its lease for as long as nobody tells it otherwise."""

    def _lasts(self, own, needed_s):
        return True

    def _forget_if_over(self, name, own):
        """Keeps the lease."""


class UncheckedOrders(Orders):
    holder_class = UncheckedHolder


class ReadTimeHolder(LeaseHolder):
    """Measures its lease from when it read the record."""

    def _get_end(self, sent_at):
        return super()._get_end(now())


class ReadTimeOrders(Orders):
    holder_class = ReadTimeHolder


class HastyHolder(LeaseHolder):
    """Uses a lease as soon as it is granted."""

    def _usable_from(self, name):
        return now()


class HastyOrders(Orders):
    holder_class = HastyHolder


class ShortWaitHolder(LeaseHolder):
    """Waits for orders under way only, whatever became of the holder before."""

    def _usable_from(self, name):
        return now() + self._settings.order_timeout_s


class ShortWaitOrders(Orders):
    holder_class = ShortWaitHolder
