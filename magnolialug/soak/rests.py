"""Endpoints that refuse requests for a time that they name."""

import re
from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from magnolialug.soak.slot import Slot

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["RestChecks", "ask_for_rest"]

# Requests may be on their way for this long after a refusal.
_IN_TRANSIT_S = 0.5
# Requests that may reach an endpoint later, until its time is over.
_ALLOWED = 2
_SECONDS = re.compile(r"\d+(\.\d+)?")
# A longer time is none that an endpoint means.
_LONGEST_S = 60.0
_REST_S = (0.5, 4.0)
_REFUSES_S = (1.0, 4.0)
_GARBAGE_SHARE = 0.2
_GARBAGE = (
    "",
    "soon",
    "-3",
    "nan",
    "inf",
    "1e3",
    "2,5",
    "31536000",
    "Fri, 31 Dec 1999 23:59:59 GMT",
)


class _Rest(msgspec.Struct):
    """One refusal that names a time."""

    asked_at: float
    seconds: float
    arrivals: int = 0


class RestChecks:
    """Notes which machine was asked for a rest, and judges each arrival.

    Args:
      clock: returns the time in seconds.
      halted: tells whether a machine has started or stood still since a time.
      broken: is told promise, detail and request of what must not be.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        halted: Callable[[str, float], bool],
        broken: Callable[[str, str, str], None],
    ):
        self._clock = clock
        self._halted = halted
        self._broken = broken
        self._rests: dict[str, dict[str, list[_Rest]]] = {}

    def refused(self, instance: str, machine: str, value: str) -> None:
        """Notes that an endpoint refuses a request with 503.

        Args:
          value: of Retry-After; what names no time binds nobody.
        """
        if not _SECONDS.fullmatch(value) or float(value) > _LONGEST_S:
            return
        machines = self._rests.setdefault(instance, defaultdict(list))
        machines[machine].append(_Rest(self._clock(), float(value)))

    def end(self, instance: str) -> None:
        """Notes that an endpoint has started again under its id."""
        self._rests.pop(instance, None)

    def arrived(self, instance: str, request: str, machine: str) -> None:
        """Judges a request that an endpoint gets."""
        machines = self._rests.get(instance, {})
        now = self._clock()
        rests = [
            rest
            for rest in machines.get(machine, ())
            if now <= rest.asked_at + rest.seconds
            and not self._halted(machine, rest.asked_at)
        ]
        for rest in rests:
            rest.arrivals += now > rest.asked_at + _IN_TRANSIT_S
        broken = [rest for rest in rests if rest.arrivals > _ALLOWED]
        if broken:
            detail = (
                f"{instance} had asked {machine} for {broken[0].seconds} s of"
                f" rest, and got {broken[0].arrivals} requests"
            )
            self._broken("BUDGET", detail, request)
            rests = []
        if machines:
            machines[machine] = rests


def ask_for_rest(soak: "Soak") -> None:
    """An endpoint, or each of a service, refuses all and asks for a rest."""
    slot = soak.some_slot()
    slots = [slot]
    if soak.random.random() < 0.2:
        slots = soak.world.runs_of(slot.service)
    for_s = soak.random.uniform(*_REFUSES_S)
    for each in slots:
        if not each.endpoint.refuses:
            _refuse(soak, each, for_s)


def _refuse(soak: "Soak", slot: Slot, for_s: float) -> None:
    endpoint = slot.endpoint
    endpoint.refuses, endpoint.rest = True, _value(soak.random)
    soak.later(for_s / 2, _change, soak, endpoint)
    soak.later(for_s, _serve_again, endpoint)


def _value(random: Random) -> str:
    if random.random() < _GARBAGE_SHARE:
        return random.choice(_GARBAGE)
    return f"{random.uniform(*_REST_S):.2f}"


def _change(soak: "Soak", endpoint) -> None:
    if endpoint.refuses:
        endpoint.rest = _value(soak.random)


def _serve_again(endpoint) -> None:
    endpoint.refuses, endpoint.rest = False, None
