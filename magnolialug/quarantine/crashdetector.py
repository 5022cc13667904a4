"""Detects whether an endpoint that closed a connection has crashed."""

from collections.abc import Callable
from functools import partial

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Pool
from magnolialug.ids import EndpointId, EngineBuild
from magnolialug.policy.requestidentity import RequestIdentity

__all__ = ["CrashDetector", "LostAttempt"]

# Time for the closes of an endpoint's other connections to be seen, also while
# the event loop is late.
_REPEAT_S = 0.25
# A loss is part of a crash that is found within this time.
_KEEP_S = 2.0
# Bounds memory use; the requests of one engine.
_MAX_KEPT = 256


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection the endpoint has closed.

    Attributes:
      build: of the engine, "" for a plain endpoint.
      answered: whether part of the answer's body had arrived.
      sent_at: when the request was sent.
      first_data_at: when the body began, infinity if it did not.
      lost_at: when its connection was closed.
    """

    identity: RequestIdentity
    build: EngineBuild
    answered: bool
    sent_at: float
    first_data_at: float
    lost_at: float


class CrashDetector:
    """Distinguishes a crash of an endpoint from a truncated answer.

    On the connection of the request, both look the same. A crashed endpoint
    closes all of its connections and accepts no new one, which one attempt to
    connect shows. Its registry entry expires only seconds later, and in that
    time the same request would crash further endpoints.

    The attempt can end before the other connections are seen to close, and
    then looks like one at a living endpoint. So it is repeated once, and the
    losses are kept until a crash is found or ruled out.

    Args:
      on_crash: receives a crashed endpoint and the requests lost with it.
    """

    def __init__(
        self,
        clock: IReactorTime,
        on_crash: Callable[[EndpointId, tuple[LostAttempt, ...]], None],
    ):
        self._clock = clock
        self._on_crash = on_crash
        self._pending: dict[EndpointId, list[LostAttempt]] = {}
        self._kept: dict[EndpointId, list[tuple[float, LostAttempt]]] = {}

    def record_loss(
        self, endpoint: EndpointId, pool: Pool, loss: LostAttempt
    ) -> None:
        """Records a request whose connection the endpoint has closed."""
        if endpoint not in self._pending:
            self._probe(endpoint, pool)
        self._pending[endpoint].append(loss)

    def _probe(self, endpoint: EndpointId, pool: Pool) -> None:
        self._pending[endpoint] = []
        pool.probe(partial(self._probed, endpoint, pool))

    def _probe_again(self, endpoint: EndpointId, pool: Pool) -> None:
        if endpoint in self._kept and endpoint not in self._pending:
            self._probe(endpoint, pool)

    def _probed(self, endpoint: EndpointId, pool: Pool, crashed: bool) -> None:
        now = self._clock.seconds()
        losses = self._pending.pop(endpoint)
        kept = [
            (at, loss)
            for at, loss in self._kept.pop(endpoint, ())
            if now - at <= _KEEP_S
        ]
        kept += [(now, loss) for loss in losses]
        if crashed:
            self._on_crash(endpoint, tuple(loss for _, loss in kept))
            return
        if losses:
            self._clock.callLater(_REPEAT_S, self._probe_again, endpoint, pool)
            self._clock.callLater(_KEEP_S, self._drop_expired, endpoint)
        if kept:
            self._kept[endpoint] = kept[-_MAX_KEPT:]

    def _drop_expired(self, endpoint: EndpointId) -> None:
        now = self._clock.seconds()
        kept = self._kept.get(endpoint)
        if kept is not None and now - kept[-1][0] >= _KEEP_S:
            del self._kept[endpoint]
