"""Load ledger of one endpoint, from the reports of all entries."""

from collections.abc import Hashable, Mapping, Sequence

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.policy.admissionqueue import AdmissionQueue, QueuedPrompt
from magnolialug.policy.enginepace import EnginePace
from magnolialug.policy.paceledger import PaceLedger
from magnolialug.policy.partcache import PartCache
from magnolialug.policy.prefilladmission import (
    WrittenStreams,
    admits_prefill,
)
from magnolialug.policy.prefillwait import PRIORITY_LEVELS, prefill_wait_s
from magnolialug.policy.prompt import Part
from magnolialug.policy.sendbucket import SendBucket
from magnolialug.policy.sharedload import (
    EndpointState,
    Placement,
    WorkShare,
    shortest_gap_ms,
    sum_by_priority,
)

__all__ = ["HEADROOM", "SHARE_TIMEOUT_S", "EndpointLedger"]

# Share of memory left free when a large prompt is admitted, because responses
# grow longer than expected. A small share is enough: what engines prefill and
# generate is reported within milliseconds.
HEADROOM = 0.02
# Share of memory left free when the large prompt will be late: enough for about
# one prompt that arrives meanwhile and can still be in time.
_LATE_HEADROOM = 0.12
# Memory is reserved for an admitted prompt for this long: its request shows up
# in a load report after two network transits.
_RESERVATION_S = 0.06

# A prompt with less time to spare than this no longer waits for the streams at
# its engine: two rounds of grants, and the way to the engine.
_LEAST_SLACK_S = 0.1

# Shares are reported twice a second. Three lost in a row mean that their entry
# is gone or cut off.
SHARE_TIMEOUT_S = 1.8
# An engine with running requests sends data to some entry every few dozen
# milliseconds. If none of the entries with requests there receives anything for
# this long, the engine is dead. The time covers one report interval of the
# shares and half a second, in which any of its streams would have had ten
# events.
_SILENT_S = 1.0
# An entry reports its connections with its work. Those that it leaves idle are
# closed within this time.
_CONNECTIONS_S = 5.0


class _ReportedShare(msgspec.Struct):
    share: WorkShare
    at: float


class _Reservation(msgspec.Struct):
    """Memory that is reserved for a prompt that has been admitted."""

    row: QueuedPrompt
    until: float


class _EngineLoad(msgspec.Struct, frozen=True):
    """An engine's load from all entries, and how fast it reads."""

    state: EndpointState
    rate: float

    def ahead_s(self, row: QueuedPrompt) -> float:
        """Returns the expected wait before a prompt's prefill starts."""
        return prefill_wait_s(
            self.state.pending_prefill,
            self.state.running,
            row.waiting.priority,
            self.rate,
        )


class EndpointLedger:
    """Adds up the work of all entries at one endpoint.

    Entries that choose engines without knowing each other's work overload those
    that look idle to all of them at once.

    Attributes:
      memory: capacity of its memory in tokens, 0 for a plain service.
      born_ms: the start of the endpoint that the ledger is about.
      parts: estimate of the prompt parts that its memory holds.
      queue: the prompts that wait for its memory.
      sends: permits for its requests while it limits them.
      paces: what entries have measured of its pace.
    """

    def __init__(self, endpoint: EndpointId, memory: int, born_ms: int):
        self.endpoint = endpoint
        self.memory = memory
        self.born_ms = born_ms
        self.parts = PartCache(memory)
        self.queue = AdmissionQueue()
        self.sends = SendBucket()
        self.paces = PaceLedger()
        self._shares: dict[str, _ReportedShare] = {}
        self._connections: dict[str, tuple[int, float]] = {}
        self._reservations: dict[Hashable, _Reservation] = {}
        self._weights: dict[str, int] = {}
        self._min_weights: dict[str, int] = {}
        self._last_contact_at = float("-inf")
        self._cold_until = float("-inf")

    def record_share(self, entry: str, share: WorkShare, now: float) -> None:
        """Records an entry's share, which replaces its previous one."""
        self._last_contact_at = max(
            self._last_contact_at, now - share.last_contact_ms / 1000
        )
        self.record_weights(share.weights)
        _update_newest(self._min_weights, share.min_weights)
        self.record_cold_until(now + share.cold_ms / 1000)
        if share.notice is not None:
            self.sends.known.record(share.notice.to_notice(now))
            self.sends.record_sent(entry, share.sent, share.recently_sent, now)
        if share.pace is not None:
            self.paces.record(entry, share.pace, now)
        self._connections[entry] = share.connections, now
        if share.running:
            self._shares[entry] = _ReportedShare(share, now)
        else:
            self._shares.pop(entry, None)

    def record_weights(self, weights: Mapping[str, int]) -> None:
        """Records weight versions that the endpoint is known to have."""
        _update_newest(self._weights, weights)

    def record_cold_until(self, until: float) -> None:
        """Records the time until which the endpoint is known to be cold."""
        self._cold_until = max(self._cold_until, until)

    def record_placement(self, placement: Placement) -> None:
        """Counts the parts of a prompt as cached from now on."""
        self.parts.touch(placement.salt, placement.parts)

    def drop_expired(self, now: float) -> None:
        """Drops expired shares, reservations and queued prompts."""
        for entry, row in list(self._shares.items()):
            if now - row.at > SHARE_TIMEOUT_S:
                del self._shares[entry]
        for entry, (_, at) in list(self._connections.items()):
            if now - at > _CONNECTIONS_S:
                del self._connections[entry]
        for ticket, reservation in list(self._reservations.items()):
            if now >= reservation.until:
                del self._reservations[ticket]
        self.paces.drop_expired(now)
        self.queue.drop_expired(now)

    def is_idle(self) -> bool:
        """Whether no entry has reported any work."""
        return not self._shares

    def remove_prompt(self, ticket: Hashable) -> None:
        """Removes a prompt from the queue, and frees its reservation."""
        self.queue.drop(ticket)
        self._reservations.pop(ticket, None)

    def has_reservation(self, ticket: Hashable) -> bool:
        """Whether memory is reserved for a prompt."""
        return ticket in self._reservations

    def grant_next(self, now: float, rate: float) -> QueuedPrompt | None:
        """Admits the next prompt and reserves memory for it.

        Args:
          rate: prompt tokens that the engine reads in a second.
        """
        load = _EngineLoad(self.state("", now), rate)
        row = self.queue.take_next(
            now,
            lambda row: self._fits(row, load, now),
            lambda row: _is_held_back(row, load, now),
        )
        if row is not None:
            self._reservations[row.ticket] = _Reservation(
                row, now + _RESERVATION_S
            )
        return row

    def state(
        self,
        client: str,
        now: float,
        salt: str = "",
        parts: Sequence[Part] = (),
    ) -> EndpointState:
        """Returns the load of the endpoint from all entries but one.

        Args:
          client: the entry that asks; its own share is left out, because it
            knows that better.
          parts: the parts of the prompt that is to be placed.
        """
        others = [
            row.share for entry, row in self._shares.items() if entry != client
        ]
        reserved = [
            reservation.row for reservation in self._reservations.values()
        ]
        pending_prefill = [share.pending_prefill for share in others]
        pending_prefill += [_prefill_of(row) for row in reserved]
        return EndpointState(
            endpoint=self.endpoint,
            pending_prefill=sum_by_priority(pending_prefill),
            held=sum(share.held for share in others)
            + sum(row.tokens for row in reserved),
            running=sum(share.running for share in others) + len(reserved),
            cached_parts=self.parts.leading(salt, parts),
            silent=self.is_silent(now),
            waiting=len(self.queue),
            born_ms=self.born_ms,
            weights=dict(self._weights),
            min_weights={
                model: version
                for model, version in self._min_weights.items()
                if version > self._weights.get(model, 0)
            },
            cold_ms=round(max(0.0, self._cold_until - now) * 1000),
            notice=self.sends.known.report(now),
            connections=sum(
                count
                for entry, (count, _) in self._connections.items()
                if entry != client
            ),
            writing=sum(share.writing for share in others),
            gap_ms=shortest_gap_ms(share.gap_ms for share in others),
            pace=self.pace(now),
        )

    def pace(self, now: float) -> EnginePace | None:
        """Returns its pace by all entries, None if too little is known."""
        return self.paces.pace(now)

    def is_silent(self, now: float) -> bool:
        """Whether requests have waited for any byte of it for too long.

        Time counts from the oldest request in the shares, because one that was
        just sent proves nothing. An engine that has sent data to any entry is
        alive, whichever other requests wait in its queue.
        """
        sent_at = min(
            (
                row.at - row.share.oldest_ms / 1000
                for row in self._shares.values()
            ),
            default=now,
        )
        return now - max(sent_at, self._last_contact_at) >= _SILENT_S

    def _fits(self, row: QueuedPrompt, load: _EngineLoad, now: float) -> bool:
        """Whether a prompt has room, and its prefill can start soon enough."""
        held = load.state.held
        if not held:
            return True
        if load.ahead_s(row) > row.ahead_s:
            return False
        headroom = _LATE_HEADROOM if row.waiting.is_late(now) else HEADROOM
        room = 1.0 - (held + row.tokens) / max(1, self.memory)
        return room >= headroom


def _is_held_back(row: QueuedPrompt, load: _EngineLoad, now: float) -> bool:
    """Whether a prompt waits for the streams at its engine.

    One that would be late if it waited any longer does not.
    """
    state, waiting = load.state, row.waiting
    first_event_s = load.ahead_s(row) + waiting.first_event_s
    if waiting.target_at - first_event_s - now < _LEAST_SLACK_S:
        return False
    streams = WrittenStreams(state.writing, state.gap_ms / 1000)
    pending = sum(state.pending_prefill)
    return not admits_prefill(streams, pending, row.unread, load.rate)


def _update_newest(
    versions: dict[str, int], versions_reported: Mapping[str, int]
) -> None:
    for model, version in versions_reported.items():
        versions[model] = max(version, versions.get(model, 0))


def _prefill_of(row: QueuedPrompt) -> tuple[int, ...]:
    place = min(row.waiting.priority, PRIORITY_LEVELS - 1)
    return (0,) * place + (row.unread,)
