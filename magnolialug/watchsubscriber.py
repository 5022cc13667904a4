"""What a watch of the key-value service reports to its subscribers."""

from collections.abc import Sequence

from magnolialug.platform.kv import KvEntry

__all__ = ["WatchSubscriber"]


class WatchSubscriber:
    """Receives the state of some keys; to be overridden.

    Entries with value None were removed.
    """

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Takes all entries as they are now."""

    def changed(self, entry: KvEntry) -> None:
        """Takes one change."""

    def settled(self) -> None:
        """Learns that all changes that came together have been reported."""

    def lost(self) -> None:
        """Learns that the service does not answer."""

    def back(self, away_s: float) -> None:
        """Learns that the service answers again.

        Args:
          away_s: time since its last answer.
        """
