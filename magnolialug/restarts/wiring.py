"""Tells other entries which starts have ended, and applies their reports."""

from collections.abc import Callable
from functools import partial

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.entry.directory import Directory
from magnolialug.entry.peer import Peer
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.wiring import Messenger
from magnolialug.policy.startreport import Evidence, StartReport
from magnolialug.restarts.messages import StartNotice
from magnolialug.restarts.quietstarts import QuietStarts

__all__ = ["Restarts"]

# Makes up for lost datagrams.
_REPEAT_AFTER_S = 0.3


class _Repeat(msgspec.Struct, frozen=True):
    report: StartReport
    peer: Peer
    seen_at: float


class Restarts:
    """Spreads what the requests of one entry show of ended starts.

    The first entry whose request meets another start, or a refused connection,
    tells all others. Who was told does not tell again. So an endpoint that
    crashes costs the fleet one such request, and one datagram for each entry,
    sent twice.

    Args:
      directory: applies reports, and calls this with what its entry finds.
      ring: the other entries.
      count: called for each learned end, with how it was learned.
    """

    def __init__(
        self,
        directory: Directory,
        ring: OwnerRing,
        messenger: Messenger,
        count: Callable[[str], None],
        clock: IReactorTime,
    ):
        self._directory = directory
        self._ring = ring
        self._messenger = messenger
        self._count = count
        self._clock = clock.seconds
        self._quiet = QuietStarts()
        self._probing: set[EndpointId] = set()
        self._repeats: list[_Repeat] = []
        directory.on_replaced = self._record_replaced
        directory.on_unreachable = self._record_unreachable
        messenger.register_handler(StartNotice, self._on_notice)

    def tick(self, now: float) -> None:
        """Repeats notices once."""
        due = [
            row for row in self._repeats if now >= row.seen_at + _REPEAT_AFTER_S
        ]
        self._repeats = self._repeats[len(due) :]
        for row in due:
            is_refusal = row.report.evidence is Evidence.REFUSED
            if is_refusal and row.peer.last_contact_at > row.seen_at:
                continue
            self._send(row.report, now - row.seen_at)

    def _record_replaced(self, peer: Peer, successor: EndpointId) -> None:
        """Tells others that another start has answered a request."""
        self._count("answer")
        self._announce(peer, Evidence.REPLACED, successor)

    def _record_unreachable(self, peer: Peer) -> None:
        """Tells others if a start refuses connections.

        Its request may have failed to connect for another reason, so a further
        connection confirms it first.
        """
        start = peer.start_id
        now = self._clock()
        if peer.leaving or start in self._probing:
            return
        if self._quiet.is_quiet(start, Evidence.REFUSED, now):
            return
        self._probing.add(start)
        peer.pool.probe(partial(self._on_probed, peer, start))

    def _on_probed(
        self, peer: Peer, start: EndpointId, has_ended: bool
    ) -> None:
        self._probing.discard(start)
        if has_ended and not peer.leaving:
            self._count("refusal")
            self._announce(peer, Evidence.REFUSED, EndpointId(""))

    def _announce(
        self, peer: Peer, evidence: Evidence, successor: EndpointId
    ) -> None:
        now = self._clock()
        if self._quiet.is_quiet(peer.start_id, evidence, now):
            return
        self._quiet.record_announced(peer.start_id, evidence, now)
        listed = peer.listed
        report = StartReport(
            listed.endpoint, listed.born_ms, listed.address, evidence, successor
        )
        _log(report, "own", 0.0)
        self._repeats.append(_Repeat(report, peer, now))
        self._send(report, 0.0)

    def _send(self, report: StartReport, age_s: float) -> None:
        notice = StartNotice(report, round(age_s * 1000))
        for entry in self._ring.others:
            self._messenger.send(notice, entry)

    def _on_notice(self, notice: StartNotice, _: Address) -> None:
        report, now = notice.report, self._clock()
        peer = self._directory.peers.get(report.endpoint)
        if peer is None or peer.is_other_start(report.born_ms):
            return
        if peer.listed.address != report.address:
            return
        age_s = max(0, notice.age_ms) / 1000
        self._quiet.record_received(peer.start_id, report.evidence, now - age_s)
        if self._directory.record_reported_end(report, now - age_s):
            self._count("entry")
            _log(report, "entry", age_s)


def _log(report: StartReport, source: str, age_s: float) -> None:
    emit(
        Event.START_LOST,
        endpoint=report.endpoint,
        born_ms=report.born_ms,
        evidence=report.evidence.value,
        successor=report.successor,
        source=source,
        age_s=round(age_s, 3),
    )
