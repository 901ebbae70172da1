"""Record when another proxy was last seen to leave or to be replaced.

A proxy that is listed can be asked what it has acknowledged. One that is no
longer listed, or an earlier process under the same name, cannot.
"""

__all__ = ['ENTRY_TTL_MS', 'ProxyHistory']

# A proxy is listed under a lease of this duration, and acknowledges writes
# without regard to being listed for at most as long.
ENTRY_TTL_MS = 30_000


class ProxyHistory:
    """Track the incarnation of each listed proxy, by the platform's key."""

    def __init__(self, own_key: str, now_ms: int):
        # Ignored: this process knows what it has acknowledged itself.
        self.own_key = own_key
        # When an incarnation last ended, or may have ended unseen.
        self.ended_ms = now_ms
        self.incarnations: dict[str, str] = {}
        # Since when the entries that are no longer listed are missing.
        self.lost_ms: dict[str, int] = {}

    @property
    def changed_ms(self) -> int:
        """Return when a proxy that cannot be asked last acknowledged a write.

        This is an upper bound, and in the future while a proxy whose entry is
        missing may be alive.
        """
        lost_ms = max(self.lost_ms.values(), default=None)
        if lost_ms is None:
            return self.ended_ms
        return max(self.ended_ms, lost_ms + ENTRY_TTL_MS)

    def record_entry(self, now_ms: int, key: str, incarnation: str) -> None:
        """Record the incarnation that an entry names.

        A new entry alone is no change: if it follows a removal that was not
        seen, its incarnation differs from the one before.
        """
        known = self.incarnations.get(key)
        was_lost = self.lost_ms.pop(key, None) is not None
        self.incarnations[key] = incarnation
        is_new = known is None and not was_lost
        if not is_new and known != incarnation and key != self.own_key:
            self.ended_ms = max(self.ended_ms, now_ms)

    def record_loss(self, now_ms: int, key: str) -> None:
        """Record that an entry is missing or unreadable.

        This counts for unknown entries too: a proxy may have been listed and
        removed between two reads.
        """
        self._forget_ended(now_ms)
        if key != self.own_key:
            self.lost_ms.setdefault(key, now_ms)

    def record_gap(self, now_ms: int) -> None:
        """Record that entries may have come and gone without being seen."""
        self.ended_ms = max(self.ended_ms, now_ms)

    def record_return(self, now_ms: int) -> None:
        """Record that the store has returned and may have lost entries.

        A proxy whose entry it has lost acknowledges writes until it notices,
        at most for as long as its registration lasts.
        """
        self.ended_ms = now_ms + ENTRY_TTL_MS

    def _forget_ended(self, now_ms: int) -> None:
        for key, lost_ms in list(self.lost_ms.items()):
            if now_ms - lost_ms > 2 * ENTRY_TTL_MS:
                del self.lost_ms[key]
                self.incarnations.pop(key, None)
                self.ended_ms = max(self.ended_ms, lost_ms + ENTRY_TTL_MS)
