"""What this system asks of the platform's key-value service."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from magnolialug.carrier.progress import Progress
from magnolialug.result import Failure

__all__ = [
    "VALUE_LIMIT",
    "Changes",
    "Kv",
    "KvEntry",
    "Page",
    "Snapshot",
    "Swap",
]

VALUE_LIMIT = 1024 * 1024


class KvEntry(msgspec.Struct, frozen=True):
    """A key's value and the revision of its last change.

    Attributes:
      value: None tells that the key was removed at that revision.
    """

    key: str
    value: bytes | None
    revision: int


class Snapshot(msgspec.Struct, frozen=True):
    """The entries under a prefix, and the revision they were read at."""

    entries: tuple[KvEntry, ...]
    revision: int


class Page(msgspec.Struct, frozen=True):
    """A part of the entries under a prefix, in the order of their keys.

    Attributes:
      revision: the service's when it was read.
      more: whether entries follow.
    """

    entries: tuple[KvEntry, ...]
    revision: int
    more: bool


class Changes(msgspec.Struct, frozen=True):
    """What has changed under a prefix, oldest first.

    Attributes:
      revision: ask on from here.
    """

    entries: tuple[KvEntry, ...]
    revision: int


class Swap(msgspec.Struct, frozen=True):
    """The answer to a compare-and-swap.

    Attributes:
      won: whether the value was written.
      current: what the key holds if it was not.
      revision: of the value written.
    """

    won: bool
    current: KvEntry | None = None
    revision: int = 0


class Kv(Protocol):
    """Compare-and-swap, leases and watches.

    A failure of a write leaves it open whether the write took effect, but
    for the codes KV_REFUSED and KV_UNREACHABLE: then nothing was done and
    nothing will be.
    """

    async def get(self, key: str) -> KvEntry | Failure | None:
        """Returns a key's entry, None if the key is absent."""

    async def scan(self, prefix: str) -> list[KvEntry] | Failure:
        """Returns the entries of all keys with a prefix."""

    async def snapshot(
        self, prefix: str, stale: bool = False
    ) -> Snapshot | Failure:
        """Returns the entries under a prefix.

        Args:
          stale: whether an answer that is seconds old will do; it costs a
            tenth and is not rationed.
        """

    async def page(
        self,
        prefix: str,
        after: str = "",
        stale: bool = False,
        progress: Progress | None = None,
        slack_s: float | None = None,
    ) -> Page | Failure:
        """Returns the entries under a prefix that follow a key.

        Args:
          after: the last key of the page before, empty for the first page.
          stale: as for snapshot.
          progress: records what arrives of the answer.
          slack_s: the longest time until the answer begins, None for the
            longest that is of use.
        """

    async def newest_revision(self) -> int | Failure:
        """Returns the service's newest revision, possibly seconds old.

        It costs a tenth of a call and does not count towards the quota.
        """

    async def changes(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        progress: Progress | None = None,
        slack_s: float | None = None,
    ) -> Changes | Failure:
        """Waits for changes under a prefix after a revision.

        Args:
          progress: records what arrives of the answer.
          slack_s: the longest time after wait_s until the answer begins, None
            for the longest that is of use.

        Returns:
          the changes, none if wait_s passed without any; KV_HISTORY_GONE if
          the service no longer knows what changed since, KV_ANSWER_TOO_LONG
          if it is more than an answer may hold.
        """

    async def put_if(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> Swap | Failure:
        """Writes a value if the key is still at a revision, 0 for absent."""

    async def delete(self, key: str) -> bool | Failure:
        """Removes a key."""

    async def grant(self, ttl_s: float) -> int | Failure:
        """Returns a new lease; its keys go when it runs out."""

    async def keep(self, lease: int) -> float | Failure:
        """Renews a lease; returns its time to live, 0 if it has run out."""

    async def revoke(self, lease: int) -> bool | Failure:
        """Ends a lease and removes its keys; false if it had ended."""

    def watch(
        self,
        key: str,
        after: int,
        on_change: Callable[[KvEntry], None],
        on_end: Callable[[Failure], None],
    ) -> Callable[[], None]:
        """Reports a key's changes after a revision until stop is called.

        A watch counts as a call for as long as it waits.
        """
