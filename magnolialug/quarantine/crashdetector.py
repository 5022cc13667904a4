"""Detects whether an endpoint that closed a connection has crashed."""

from collections.abc import Callable
from functools import partial

import msgspec

from magnolialug.carrier.pool import Pool
from magnolialug.ids import EndpointId, EngineBuild
from magnolialug.policy.requestidentity import RequestIdentity

__all__ = ["CrashDetector", "LostAttempt"]


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection the endpoint has closed.

    Attributes:
      build: of the engine, "" for a plain endpoint.
      answered: whether part of the answer's body had arrived.
      sent_at: when the request was sent.
      first_data_at: when the body began, infinity if it did not.
    """

    identity: RequestIdentity
    build: EngineBuild
    answered: bool
    sent_at: float
    first_data_at: float


class CrashDetector:
    """Distinguishes a crash of an endpoint from a truncated answer.

    On the connection of the request, both look the same. A crashed endpoint
    closes all of its connections and accepts no new one, which one attempt to
    connect shows. Its registry entry expires only seconds later, and in that
    time the same request would crash further endpoints.

    Args:
      on_crash: receives a crashed endpoint and the requests lost with it.
    """

    def __init__(
        self, on_crash: Callable[[EndpointId, tuple[LostAttempt, ...]], None]
    ):
        self._on_crash = on_crash
        self._pending: dict[EndpointId, list[LostAttempt]] = {}

    def record_loss(
        self, endpoint: EndpointId, pool: Pool, loss: LostAttempt
    ) -> None:
        """Records a request whose connection the endpoint has closed."""
        losses = self._pending.get(endpoint)
        if losses is None:
            self._pending[endpoint] = losses = []
            pool.probe(partial(self._probed, endpoint))
        losses.append(loss)

    def _probed(self, endpoint: EndpointId, crashed: bool) -> None:
        losses = self._pending.pop(endpoint)
        if crashed:
            self._on_crash(endpoint, tuple(losses))
