"""KV cache that an engine offers to others."""

from __future__ import annotations

from standins.engine._messages import Export


class ExportTable:
    """Exports by handle; each is valid while its session exists."""

    def __init__(self) -> None:
        self._exports_by_handle: dict[str, Export] = {}

    def add(self, session: str, kv_tokens: int, prefilled_tokens: int) -> Export:
        """Makes an export of a session."""
        handle = f"{session}/{len(self._exports_by_handle)}"
        export = Export(
            handle=handle,
            kv_tokens=kv_tokens,
            session=session,
            prefilled_tokens=prefilled_tokens,
        )
        self._exports_by_handle[handle] = export
        return export

    def find(self, handle: str) -> Export | None:
        """Returns the export of that handle, or None."""
        return self._exports_by_handle.get(handle)
