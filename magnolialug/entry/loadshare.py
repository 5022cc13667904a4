"""Tells the other entries of this one's work, and hears of theirs."""

from collections import deque

from twisted.internet.interfaces import IReactorTime

from magnolialug.entry.directory import Directory
from magnolialug.entry.peertalk import PeerTalk
from magnolialug.policy.sharedload import LoadReport, Placement

__all__ = ["LoadShare"]

# A placement is told this much later at most. A burst brings three requests
# within a few milliseconds, and a long prompt occupies an engine for 0.1 s.
_TELL_S = 0.02
# What an entry sends, and as entries do alike also what it is sent. A tenth of
# the slowest link, 5 Mbit/s. With 26 entries that told of every change at once
# it was 6 Mbit/s: callers' requests stood behind it for up to 0.8 s. With four
# entries, a report every 20 ms takes less than this.
_BYTES_PER_S = 64_000
# A report is repeated this often, since datagrams get lost.
_REPEAT_S = 0.25
# A rollout is passed on for this long after it was heard.
_NEWS_S = 6.0
# Told at once, about eighty bytes each. A gateway of today's busiest day
# sends two in the time between reports.
_PLACEMENTS = 24


class LoadShare:
    """Sends and takes load reports, one datagram each.

    Entries that choose engines without knowing each other's work pile it up:
    measured over a day here, a request found four times the work ahead of it
    that the least busy engine had. Reports are sent soon after a change and
    carry the whole state, so a lost one is made good by the next.

    Args:
      name: names this start of this process.
    """

    def __init__(
        self,
        directory: Directory,
        talk: PeerTalk,
        clock: IReactorTime,
        name: str,
    ):
        self._directory = directory
        self._talk = talk
        self._clock = clock
        self._name = name
        self._number = 0
        self._timer = None
        self._sent_at = 0.0
        self._quiet_until = 0.0
        self._numbers: dict[str, int] = {}
        self._placements: deque[Placement] = deque(maxlen=_PLACEMENTS)
        talk.takes(LoadReport, self._heard)

    def placed(self, placement: Placement) -> None:
        """Learns which shared parts this entry has sent to an engine."""
        self._placements.append(placement)
        self.changed()

    def changed(self) -> None:
        """Learns that this entry's work has changed."""
        if self._timer is None and self._talk.open:
            wait_s = max(_TELL_S, self._quiet_until - self._clock.seconds())
            self._timer = self._clock.callLater(wait_s, self._tell)

    def tick(self, now: float) -> None:
        """Repeats the report from time to time."""
        if now - self._sent_at >= _REPEAT_S:
            self.changed()

    def stop(self) -> None:
        """Tells the others nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _heard(self, report: LoadReport) -> None:
        if report.number <= self._numbers.get(report.entry, 0):
            return
        self._numbers[report.entry] = report.number
        self._directory.shared(report, self._clock.seconds())
        if report.rollout is not None:
            self._directory.rolls_out(report.rollout)

    def _tell(self) -> None:
        self._timer = None
        self._sent_at = self._clock.seconds()
        self._number += 1
        news = self._sent_at - self._directory.rollout_at < _NEWS_S
        report = LoadReport(
            self._name,
            self._number,
            self._directory.own_load(),
            self._directory.rollout if news else None,
            tuple(self._placements),
        )
        self._placements.clear()
        sent = self._talk.tell(report)
        self._quiet_until = self._sent_at + sent / _BYTES_PER_S
