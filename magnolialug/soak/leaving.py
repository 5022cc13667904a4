"""Endpoints whose answers say that they leave, and what reaches them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from magnolialug.soak.historychecker import Sent
from magnolialug.soak.slot import Slot

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["LeavingChecks", "announce_leaving"]

_DRAIN_S = 2.0
_SAYS_SO = 1
# Longer than the bound, so that what comes after it is seen.
_UNREGISTERED_S = (3.0, 5.0)
_DRAINS_S = 2.0


class _Leaving(msgspec.Struct):
    """One start of an endpoint.

    Attributes:
      since: from when on its answers say that it leaves.
      told: since when which machine has passed on such an answer.
    """

    since: float
    told: dict[str, float] = {}


class LeavingChecks:
    """Notes who was told that an endpoint leaves, and judges each arrival.

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
        self._leaving: dict[str, _Leaving] = {}

    def announce(self, instance: str) -> None:
        """Notes that an endpoint's answers say so from now on."""
        self._leaving.setdefault(instance, _Leaving(self._clock()))

    def end(self, instance: str) -> None:
        """Notes that an endpoint has started again under its id."""
        self._leaving.pop(instance, None)

    def answered(self, instance: str, row: Sent) -> None:
        """Notes that a machine has passed on an answer of an endpoint.

        The answer to a request that arrived earlier may not say so.
        """
        leaving = self._leaving.get(instance)
        if leaving is not None and any(
            at >= leaving.since and reached == instance
            for at, reached in row.arrivals
        ):
            leaving.told.setdefault(row.machine, self._clock())

    def arrived(
        self, instance: str, request: str, machine: str, sent_at: float
    ) -> None:
        """Judges a request that an endpoint gets.

        Args:
          sent_at: when its caller sent it.
        """
        leaving = self._leaving.get(instance)
        if leaving is None or machine not in leaving.told:
            return
        told_at = leaving.told[machine]
        if self._halted(machine, told_at):
            del leaving.told[machine]
        elif sent_at > told_at + _DRAIN_S:
            late_s = self._clock() - told_at
            detail = (
                f"{instance}, {late_s:.2f} s after {machine} had passed on"
                " an answer that says that it leaves"
            )
            self._broken("DRAIN", detail, request)


def announce_leaving(soak: "Soak") -> None:
    """An endpoint's answers say that it leaves, its registration not yet."""
    slot = soak.some_slot()
    staying = [s for s in soak.world.runs_of(slot.service) if _stays(s)]
    if slot not in staying or len(staying) < 2:
        return
    soak.world.announce_leaving(slot)
    for_s = soak.random.uniform(*_UNREGISTERED_S)
    act = soak.random.choice((_register_later, _register_late, _start_anew))
    act(soak, slot, for_s)


def _stays(slot: Slot) -> bool:
    return slot.endpoint.leaving is None and slot.leaving_at is None


def _register_later(soak: "Soak", slot: Slot, for_s: float) -> None:
    soak.later(for_s, _drain, soak, slot, slot.endpoint)


def _register_late(soak: "Soak", slot: Slot, for_s: float) -> None:
    """The key-value service answers nothing until then."""
    soak.world.disturb_store(for_s)
    faults = soak.world.kv.faults
    faults.down = True
    soak.later(for_s, setattr, faults, "down", False)
    _register_later(soak, slot, for_s)


def _start_anew(soak: "Soak", slot: Slot, for_s: float) -> None:
    """Another start takes its id and its address, and does not leave."""
    soak.later(for_s, soak.start_anew, slot, slot.endpoint)


def _drain(soak: "Soak", slot: Slot, endpoint) -> None:
    if slot.endpoint is endpoint:
        soak.world.drain(slot)
        soak.later(_DRAINS_S, soak.replace, slot, endpoint)
