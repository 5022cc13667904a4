"""Which requests endpoints end under: what is seen, counted and told."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from magnolialug.bars.barbook import BarBook
from magnolialug.bars.endwatch import EndWatch
from magnolialug.bars.messages import Bar, Blamed, Loss, Survived
from magnolialug.carrier.pool import Address, Pool
from magnolialug.events import Event, emit
from magnolialug.homes.homebook import HomeBook
from magnolialug.homes.wiring import Talk
from magnolialug.ids import EndpointId, RequestDigest
from magnolialug.platform.kv import Kv
from magnolialug.policy.answered import Answered
from magnolialug.policy.blamebook import BlameBook, Verdict
from magnolialug.result import Failure

__all__ = ["Bars"]

# A request after whose two ends it is not known whether it ends endpoints goes
# to none for this long. Callers come again within seconds, and a fault that
# takes down many endpoints is over by then.
_HELD_S = 60.0
# Requests of one ended endpoint in one datagram: 40 bytes each, of 1,400.
_LOSSES = 32
# Requests that this entry blamed and has not seen answered since.
_MOST_BLAMED = 10_000


class Bars:
    """Sees endpoints end, and keeps back the requests that they end under.

    One entry sees a part: the same request comes at any of them. So what each
    has lost with an endpoint is told to a few that are drawn by the request,
    which count; and whom they find is told to all, and written where it lasts.

    Attributes:
      written: the bars as they are kept in the key-value service.

    Args:
      homes: draws the entries that count, and the one that writes.
      on_bar: is told of each request that is newly kept back.
    """

    def __init__(
        self,
        homes: HomeBook,
        talk: Talk,
        kv: Kv,
        clock: IReactorTime,
        on_bar: Callable[[RequestDigest], None],
    ):
        self._homes = homes
        self._talk = talk
        self._clock = clock
        self._answered = Answered()
        self._book = BlameBook()
        self._ends = EndWatch(self._ended)
        self._blamed: dict[RequestDigest, None] = {}
        self.written = BarBook(
            kv, clock, lambda digest: homes.home(digest) == homes.me, on_bar
        )
        talk.takes(Blamed, lambda blamed, _: self._count(blamed))
        talk.takes(Survived, lambda told, _: self._book.survived(told.digest))
        talk.takes(Bar, lambda bar, _: self.written.told(bar))

    def refusal(self, digest: RequestDigest) -> Failure | None:
        """Returns why a request may go to no endpoint, None if it may."""
        return self.written.refusal(digest)

    def lost(
        self,
        endpoint: EndpointId,
        pool: Pool,
        digest: RequestDigest,
        answered: bool,
    ) -> None:
        """Learns that an endpoint has closed a connection amid a request."""
        self._ends.lost(endpoint, pool, Loss(digest, answered))

    def survived(self, digest: RequestDigest) -> None:
        """Learns that an endpoint has answered a request in full."""
        self._answered.add(digest)
        if self._blamed and digest in self._blamed:
            del self._blamed[digest]
            for home in self._homes.first(digest):
                self._talk.send(Survived(digest), home)

    def tick(self, now: float) -> None:
        """Forgets and writes what is due."""
        self.written.tick(now)

    def _ended(self, endpoint: EndpointId, losses: tuple[Loss, ...]) -> None:
        emit(Event.ENDPOINT_ENDED, endpoint=endpoint, lost=len(losses))
        now = self._clock.seconds()
        by_home: dict[Address, list[Loss]] = {}
        for loss in set(losses):
            if self._answered.clears(loss.digest, now):
                continue
            self._blamed[loss.digest] = None
            # Itself as well: an entry that reaches no other one still counts.
            for home in {self._homes.me, *self._homes.first(loss.digest)}:
                by_home.setdefault(home, []).append(loss)
        while len(self._blamed) > _MOST_BLAMED:
            del self._blamed[next(iter(self._blamed))]
        for home, rows in by_home.items():
            for begin in range(0, len(rows), _LOSSES):
                told = tuple(rows[begin : begin + _LOSSES])
                self._talk.send(Blamed(endpoint, told), home)

    def _count(self, blamed: Blamed) -> None:
        """Counts an end, and tells all entries of whom it shows."""
        now = self._clock.seconds()
        for loss in blamed.losses:
            verdict = self._book.ended(
                loss.digest, blamed.endpoint, loss.answered, now
            )
            if verdict is Verdict.FREE:
                continue
            for_s = _HELD_S if verdict is Verdict.HELD else 0.0
            ended = self._book.ends(loss.digest)
            bar = Bar(loss.digest, ended, int(for_s * 1000))
            for entry in (self._homes.me, *self._homes.others):
                self._talk.send(bar, entry)
