"""Endpoints that fall silent for a moment and go on."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["silence_endpoints"]

_SILENCE_S = (0.3, 1.5)


def silence_endpoints(soak: "Soak") -> None:
    """One, several or all endpoints of a service fall silent and go on."""
    slots = soak.world.runs_of(soak.random.choice(("desk", "llm")))
    number = soak.random.choice((1, 2, len(slots)))
    for_s = soak.random.uniform(*_SILENCE_S)
    for slot in soak.random.sample(slots, min(number, len(slots))):
        slot.silent_until = max(slot.silent_until, soak.now + for_s)
        slot.endpoint.fall_silent(for_s)
    if soak.random.random() < 0.5:
        soak.world.configure()
