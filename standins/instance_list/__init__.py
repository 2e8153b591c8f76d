"""The list of live and leaving instances, which lags and may be wrong."""

from standins.instance_list._core import InstanceListCore, InstanceListFaults

__all__ = ["InstanceListCore", "InstanceListFaults"]
