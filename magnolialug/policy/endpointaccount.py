"""The account of one endpoint: what all entries have told of it."""

from collections.abc import Sequence

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.partcache import PartCache
from magnolialug.policy.prompt import Part
from magnolialug.policy.sharedload import (
    EndpointState,
    Placement,
    WorkShare,
    summed,
)

__all__ = ["SHARE_TRUST_S", "EndpointAccount"]

# Shares are repeated four times a second; four lost in a row mean that their
# entry is gone or cut off.
SHARE_TRUST_S = 1.1
# Engines with running requests send something every few dozen milliseconds
# to somebody. Entries that have work there and all hear nothing for this long
# mean that it is dead: the time that one of them alone waits before it
# suspects an engine, and half a repeat of the shares.
_SILENT_S = 0.9


class _Told(msgspec.Struct):
    share: WorkShare
    at: float


class EndpointAccount:
    """Adds up the shares of all entries at one endpoint.

    Entries that choose engines without knowing each other's work pile it up
    on those that look idle to all of them at once. With 68 entries that were
    told of each other about once a second, long prompts had their first event
    after 1.0 s where 0.5 s had been expected, and prompts were pushed out of
    engines while others were idle.

    Attributes:
      born_ms: the start of the endpoint that this is known of.
      parts: what its memory is believed to hold.

    Args:
      memory: its tokens, 0 for a plain service.
    """

    def __init__(self, endpoint: EndpointId, memory: int, born_ms: int):
        self.endpoint = endpoint
        self.memory = memory
        self.born_ms = born_ms
        self.parts = PartCache(memory)
        self._told: dict[str, _Told] = {}
        self._heard_at = float("-inf")

    def told(self, entry: str, share: WorkShare, now: float) -> None:
        """Takes an entry's work, which replaces what it told before."""
        self._heard_at = max(self._heard_at, now - share.heard_ms / 1000)
        if share.running:
            self._told[entry] = _Told(share, now)
        else:
            self._told.pop(entry, None)

    def placed(self, placement: Placement) -> None:
        """Counts the parts of a prompt as held from now on."""
        self.parts.keep(placement.salt, placement.parts)

    def forget_silent(self, now: float) -> None:
        """Drops the work of entries that have not been heard for long."""
        for entry, row in list(self._told.items()):
            if now - row.at > SHARE_TRUST_S:
                del self._told[entry]

    def idle(self) -> bool:
        """Whether nobody has told of any work."""
        return not self._told

    def state(
        self,
        asker: str,
        now: float,
        salt: str = "",
        parts: Sequence[Part] = (),
        reserved: int = 0,
        waiting: int = 0,
    ) -> EndpointState:
        """Returns what the endpoint has to do for all but one entry.

        Args:
          asker: knows its own share better than is known here.
          parts: of the prompt that is to be placed.
          reserved: tokens of memory that have been promised.
          waiting: prompts that wait for memory.
        """
        others = [
            row.share for entry, row in self._told.items() if entry != asker
        ]
        return EndpointState(
            endpoint=self.endpoint,
            reading=summed(share.reading for share in others),
            held=sum(share.held for share in others) + reserved,
            running=sum(share.running for share in others),
            found=self.parts.leading(salt, parts),
            silent=self._is_silent(now),
            waiting=waiting,
            born_ms=self.born_ms,
        )

    def _is_silent(self, now: float) -> bool:
        """Whether work waits for a first or a further byte for too long.

        A request that was just sent says nothing, and an engine that was
        heard by anybody is alive, whoever else waits in its queue.
        """
        sent_at = min(
            (
                row.at - row.share.oldest_ms / 1000
                for row in self._told.values()
            ),
            default=now,
        )
        return now - max(sent_at, self._heard_at) >= _SILENT_S
