"""Which instance reaches which endpoint."""

from cicadacourse.reachability._service import Reachability

__all__ = ["Reachability"]
