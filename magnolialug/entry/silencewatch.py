"""Notices endpoints that have work and say nothing."""

from collections.abc import Callable, Iterable

from twisted.internet.defer import ensureDeferred

from magnolialug.entry.directory import Directory
from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.entry.peer import Peer
from magnolialug.events import Event, emit
from magnolialug.platform.enginecalls import EngineCalls
from magnolialug.result import Failure

__all__ = ["SilenceWatch"]

# An engine with running requests sends events every few dozen milliseconds,
# and begins a prompt within half a second unless its queue is long; a queue
# without any event in between is what a dead engine looks like.
_SILENT_S = 0.8
# A silent engine is asked for a report this often; a request would be lost.
_PROBE_S = 0.5


class SilenceWatch:
    """Keeps new work from endpoints that have gone silent.

    An engine that loses power answers nothing and closes nothing. Requests
    would wait there until their deadlines, and more would be sent meanwhile.
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

    def tick(self, underway: Iterable[HttpAttempt]) -> None:
        """Looks at all attempts under way."""
        now = self._clock()
        oldest: dict[Peer, float] = {}
        for attempt in underway:
            first = oldest.get(attempt.peer, now)
            oldest[attempt.peer] = min(first, attempt.sent_at)
        for peer, since in oldest.items():
            self._judge(peer, since, now)
        for peer in list(self._probed):
            self._probe(peer, now)

    def _judge(self, peer: Peer, since: float, now: float) -> None:
        quiet_s = now - max(since, peer.heard_at)
        if peer.mute or quiet_s < _SILENT_S or now < peer.closed_until:
            return
        peer.mute = True
        self._probed[peer] = now
        emit(
            Event.ENDPOINT_SUSPECTED,
            endpoint=peer.listed.endpoint,
            silent_s=round(quiet_s, 3),
            running=peer.running,
        )

    def _probe(self, peer: Peer, now: float) -> None:
        if not peer.mute or peer.gone:
            del self._probed[peer]
        elif peer.evacuated:
            self._probed[peer] = now
        elif now - self._probed[peer] >= _PROBE_S:
            self._probed[peer] = now
            if peer.load is None:
                peer.heard(now)
            else:
                ensureDeferred(self._ask(peer))

    async def _ask(self, peer: Peer) -> None:
        report = await self._calls.report(peer.listed)
        if isinstance(report, Failure):
            return
        if self._directory.reported(peer, report.born_ms):
            peer.heard(self._clock())
