"""The callers' HTTP server and the path of their requests."""

from cicadacourse.entry._path import RequestPath
from cicadacourse.entry._service import Entry
from cicadacourse.entry._settings import EntrySettings
from cicadacourse.entry._sink import CallerLost, Sink

__all__ = ["CallerLost", "Entry", "EntrySettings", "RequestPath", "Sink"]
