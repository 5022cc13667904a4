"""Detects endpoints that have work but send nothing."""

from collections.abc import Callable, Iterable
from functools import partial

from magnolialug.background import background
from magnolialug.entry.directory import Directory
from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.entry.peer import Peer
from magnolialug.events import Event, emit
from magnolialug.platform.enginecalls import EngineCalls
from magnolialug.result import Failure

__all__ = ["LivenessMonitor"]

# An engine with running requests sends events every few dozen milliseconds, and
# begins a prompt within half a second unless its queue is long. One that has
# queued work and sends no event for longer is presumed to have failed.
_SILENT_S = 0.8
# Interval of report queries to a silent engine; a request would be lost there.
_PROBE_INTERVAL_S = 0.5


class LivenessMonitor:
    """Marks silent endpoints as unresponsive, so that they get no new work.

    An engine that loses power neither answers nor closes its connections.
    Requests would wait there until their deadlines, and more would be sent
    meanwhile.
    """

    def __init__(
        self,
        directory: Directory,
        calls: EngineCalls,
        clock: Callable[[], float],
    ):
        self._directory = directory
        self._calls = calls
        self._clock = clock
        self._probed: dict[Peer, float] = {}

    def tick(self, active_attempts: Iterable[HttpAttempt]) -> None:
        """Checks the endpoints of all attempts in progress."""
        now = self._clock()
        oldest: dict[Peer, float] = {}
        for attempt in active_attempts:
            first = oldest.get(attempt.peer, now)
            oldest[attempt.peer] = min(first, attempt.waits_since(now))
        for peer, since in oldest.items():
            self._check_peer(peer, since, now)
        for peer in list(self._probed):
            self._probe(peer, now)

    def _check_peer(self, peer: Peer, since: float, now: float) -> None:
        silent_s = now - max(since, peer.last_contact_at)
        if peer.unresponsive or silent_s < _SILENT_S or now < peer.closed_until:
            return
        peer.unresponsive = True
        self._probed[peer] = now
        emit(
            Event.ENDPOINT_SUSPECTED,
            endpoint=peer.listed.endpoint,
            silent_s=round(silent_s, 3),
            running=peer.running,
        )

    def _probe(self, peer: Peer, now: float) -> None:
        if not peer.unresponsive or peer.gone:
            del self._probed[peer]
        elif peer.evacuated or peer.rest.is_resting(now):
            self._probed[peer] = now
        elif now - self._probed[peer] >= _PROBE_INTERVAL_S:
            self._probed[peer] = now
            if peer.load is None:
                peer.record_contact(now)
            else:
                background("liveness report", self._request_report(peer))

    async def _request_report(self, peer: Peer) -> None:
        report = await self._calls.report(
            peer.listed, partial(self._directory.record_notices, peer)
        )
        if isinstance(report, Failure):
            return
        if self._directory.verify_start(peer, report.born_ms):
            peer.record_contact(self._clock())
