"""The load ledger of one endpoint, from the reports of all entries."""

from collections.abc import Hashable, Mapping, Sequence

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.admissionqueue import AdmissionQueue, Queued
from magnolialug.policy.partcache import PartCache
from magnolialug.policy.prefillwait import PRIORITY_LEVELS, prefill_wait_s
from magnolialug.policy.prompt import Part
from magnolialug.policy.sharedload import (
    EndpointState,
    Placement,
    WorkShare,
    summed,
)

__all__ = ["HEADROOM", "SHARE_TRUST_S", "EndpointLedger"]

# Left free beside a large prompt, because answers grow longer than expected.
# Little is needed: what is read and written is reported within milliseconds.
HEADROOM = 0.02
# Left free beside a large prompt that will be late, for about one that arrives
# meanwhile and can still be in time.
_LATE_HEADROOM = 0.12
# What is promised to a prompt is kept for it this long: it takes two crossings
# of the network until its request is told of.
_PROMISE_S = 0.06

# Shares are repeated twice a second; three lost in a row mean that their entry
# is gone or cut off.
SHARE_TRUST_S = 1.8
# Engines with running requests send something every few dozen milliseconds
# to somebody. Entries that have work there and all hear nothing for this long
# mean that it is dead: a repeat of the shares, and half a second in which any
# of its streams would have had ten events.
_SILENT_S = 1.0


class _Told(msgspec.Struct):
    share: WorkShare
    at: float


class _Promise(msgspec.Struct):
    """Memory that is reserved for a prompt that has been admitted."""

    row: Queued
    until: float


class EndpointLedger:
    """Adds up the shares of all entries at one endpoint.

    Entries that choose engines without knowing each other's work pile it up
    on those that look idle to all of them at once.

    Attributes:
      memory: its tokens, 0 for a plain service.
      born_ms: the start of the endpoint that this is known of.
      parts: what its memory is believed to hold.
      queue: the prompts that wait for its memory.
    """

    def __init__(self, endpoint: EndpointId, memory: int, born_ms: int):
        self.endpoint = endpoint
        self.memory = memory
        self.born_ms = born_ms
        self.parts = PartCache(memory)
        self.queue = AdmissionQueue()
        self._told: dict[str, _Told] = {}
        self._promises: dict[Hashable, _Promise] = {}
        self._weights: dict[str, int] = {}
        self._least: dict[str, int] = {}
        self._heard_at = float("-inf")
        self._cold_until = float("-inf")

    def told(self, entry: str, share: WorkShare, now: float) -> None:
        """Records an entry's share, which replaces the one before."""
        self._heard_at = max(self._heard_at, now - share.heard_ms / 1000)
        self.knows(share.weights)
        _raise(self._least, share.least)
        self.knows_cold(now + share.cold_ms / 1000)
        if share.running:
            self._told[entry] = _Told(share, now)
        else:
            self._told.pop(entry, None)

    def knows(self, weights: Mapping[str, int]) -> None:
        """Takes the versions that somebody knows the endpoint to have."""
        _raise(self._weights, weights)

    def knows_cold(self, until: float) -> None:
        """Takes until when somebody knows the endpoint to be cold."""
        self._cold_until = max(self._cold_until, until)

    def placed(self, placement: Placement) -> None:
        """Counts the parts of a prompt as held from now on."""
        self.parts.touch(placement.salt, placement.parts)

    def forget_old(self, now: float) -> None:
        """Drops what entries have told that have not been heard for long."""
        for entry, row in list(self._told.items()):
            if now - row.at > SHARE_TRUST_S:
                del self._told[entry]
        for ticket, promise in list(self._promises.items()):
            if now >= promise.until:
                del self._promises[ticket]
        self.queue.forget_silent(now)

    def idle(self) -> bool:
        """Whether no entry has reported any work."""
        return not self._told

    def leave(self, ticket: Hashable) -> None:
        """Removes a prompt from the queue, and frees its reservation."""
        self.queue.drop(ticket)
        self._promises.pop(ticket, None)

    def has_promised(self, ticket: Hashable) -> bool:
        """Whether memory is reserved for a prompt."""
        return ticket in self._promises

    def grant_next(self, now: float, rate: float) -> Queued | None:
        """Admits the next prompt and reserves memory for it.

        Args:
          rate: prompt tokens that the engine reads in a second.
        """
        row = self.queue.take_next(now, lambda row: self._fits(row, now, rate))
        if row is not None:
            self._promises[row.ticket] = _Promise(row, now + _PROMISE_S)
        return row

    def state(
        self,
        client: str,
        now: float,
        salt: str = "",
        parts: Sequence[Part] = (),
    ) -> EndpointState:
        """Returns what the endpoint has to do for all but one entry.

        Args:
          client: knows its own share better than is known here.
          parts: of the prompt that is to be placed.
        """
        others = [
            row.share for entry, row in self._told.items() if entry != client
        ]
        promised = [promise.row for promise in self._promises.values()]
        reading = [share.reading for share in others]
        reading += [_reading_of(row) for row in promised]
        return EndpointState(
            endpoint=self.endpoint,
            reading=summed(reading),
            held=sum(share.held for share in others)
            + sum(row.tokens for row in promised),
            running=sum(share.running for share in others) + len(promised),
            found=self.parts.leading(salt, parts),
            silent=self.is_silent(now),
            waiting=len(self.queue),
            born_ms=self.born_ms,
            weights=dict(self._weights),
            least={
                model: version
                for model, version in self._least.items()
                if version > self._weights.get(model, 0)
            },
            cold_ms=round(max(0.0, self._cold_until - now) * 1000),
        )

    def is_silent(self, now: float) -> bool:
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

    def _fits(self, row: Queued, now: float, rate: float) -> bool:
        """Whether there is room for a prompt, and it is read soon enough."""
        state = self.state("", now)
        if not state.held:
            return True
        priority = row.waiting.priority
        ahead_s = prefill_wait_s(state.reading, state.running, priority, rate)
        if ahead_s > row.ahead_s:
            return False
        headroom = _LATE_HEADROOM if row.waiting.is_late(now) else HEADROOM
        room = 1.0 - (state.held + row.tokens) / max(1, self.memory)
        return room >= headroom


def _raise(versions: dict[str, int], told: Mapping[str, int]) -> None:
    for model, version in told.items():
        versions[model] = max(version, versions.get(model, 0))


def _reading_of(row: Queued) -> tuple[int, ...]:
    place = min(row.waiting.priority, PRIORITY_LEVELS - 1)
    return (0,) * place + (row.unread,)
