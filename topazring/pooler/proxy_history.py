"""Record when another proxy was last seen to leave or to be replaced.

A proxy that is listed can be asked what it has acknowledged. One that is no
longer listed, or an earlier process under the same name, cannot.
"""

__all__ = ['ProxyHistory']


class ProxyHistory:
    """Track the incarnation of each listed proxy, by the platform's key."""

    def __init__(self, own_key: str, now_ms: int):
        # Ignored: this process knows what it has acknowledged itself.
        self.own_key = own_key
        # When an incarnation last ended, or may have ended unseen.
        self.changed_ms = now_ms
        self.incarnations: dict[str, str] = {}

    def record_entry(self, now_ms: int, key: str, incarnation: str) -> None:
        """Record the incarnation that an entry names.

        A new entry alone is no change: if it follows a removal that was not
        seen, its incarnation differs from the one before.
        """
        known = self.incarnations.get(key, incarnation)
        self.incarnations[key] = incarnation
        if known != incarnation:
            self._record_change(now_ms, key)

    def record_loss(self, now_ms: int, key: str) -> None:
        """Record that an entry is missing or unreadable.

        This counts for unknown entries too: a proxy may have been listed and
        removed between two reads.
        """
        self.incarnations.pop(key, None)
        self._record_change(now_ms, key)

    def record_gap(self, now_ms: int) -> None:
        """Record that entries may have come and gone without being seen."""
        self.changed_ms = now_ms

    def _record_change(self, now_ms: int, key: str) -> None:
        if key != self.own_key:
            self.changed_ms = now_ms
