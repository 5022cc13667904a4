"""Most new connections go to one machine, and callers open many."""

from typing import TYPE_CHECKING

from magnolialug.soak.clients import Front
from magnolialug.soak.historychecker import Sent
from magnolialug.soak.machine import CONTACT_S
from magnolialug.standin.caller import Answer

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["Flood"]

# The share of new connections that go to the machine, and of requests that must
# be served meanwhile, of those served in the seconds before.
_BIAS = 0.9
_SERVED_SHARE = 0.75
_BEFORE_S = 3.0
# Requests of the last second may not have an answer yet.
_TAIL_S = 1.0
# Callers open new connections for this long after a flood.
_SPREAD_S = 1.0
# With fewer requests, a share says little.
_LEAST_REQUESTS = 20


class Flood:
    """Directs callers to one machine for a while, and checks what is served.

    Attributes:
      until: when the newest flood ends.
    """

    def __init__(self, soak: "Soak"):
        self.until = 0.0
        self._soak = soak
        self._front: Front | None = None

    def begin(self, front: Front, for_s: float) -> None:
        """Sends most new connections to one machine for a while."""
        soak = self._soak
        self._front, self.until = front, soak.now + for_s
        for client in soak.clients:
            client.reconnects = client.hurried = True
        soak.later(for_s, self._end, soak.now)

    def choose(self) -> Front | None:
        """Returns the machine for a new connection, None for any."""
        soak = self._soak
        if soak.now >= self.until or not self._front.ready:
            return None
        return self._front if soak.random.random() < _BIAS else None

    def turns_away(self, row: Sent, answer: Answer) -> bool:
        """Whether the machine may have closed a connection without reading."""
        if self._front is None or row.machine != self._front.machine.name:
            return False
        recent = self._soak.now < self.until + _TAIL_S
        return recent and not row.arrivals and not answer.status

    def _end(self, since: float) -> None:
        soak = self._soak
        for client in soak.clients:
            client.hurried = False
        soak.later(_SPREAD_S, self._keep_connections)
        before = self._served_share(since - _BEFORE_S, since)
        during = self._served_share(since + CONTACT_S, soak.now - _TAIL_S)
        if before and during and during < _SERVED_SHARE * before:
            detail = f"{during:.2f} served, {before:.2f} before the flood"
            soak.history.broken("RECOVER", detail)

    def _keep_connections(self) -> None:
        """Lets callers keep connections, now that they are spread again."""
        for client in self._soak.clients:
            client.reconnects = False

    def _served_share(self, since: float, until: float) -> float:
        """Returns the share served of what was sent in a calm time.

        Returns:
          0 if the time was not calm, or too little was sent.
        """
        soak = self._soak
        rows = [
            row
            for row in soak.history.sent.values()
            if since <= row.at < until and not row.is_rightly_denied
        ]
        faulty = max(slot.faulty_until for slot in soak.world.slots)
        calm = all(soak.touched(m.name, since) for m in soak.machines)
        if faulty > since or not calm or len(rows) < _LEAST_REQUESTS:
            return 0.0
        return sum(row.is_served for row in rows) / len(rows)
