"""Parts of prompts that engines have answered, and when."""

from collections import OrderedDict
from collections.abc import Iterable

from magnolialug.ids import EngineBuild, ServiceName

__all__ = ["SOUND_S", "SoundParts"]

# A part of a prompt that was answered within this time does not crash engines
# of the same build. It is longer than the pauses between two prompts of a team
# that works, and than a storm of crashes in which nobody is answered.
SOUND_S = 60.0
# Bounds memory use: the parts of some minutes of an entry's prompts, 2 MB.
_MAX_ROWS = 8192


class SoundParts:
    """Remembers which parts of prompts the engines of a build have answered.

    A part may crash engines after a release, or with other weights, so that an
    answer of one build says nothing of another.
    """

    def __init__(self) -> None:
        self._answered_at: OrderedDict[
            tuple[ServiceName, str, EngineBuild], float
        ] = OrderedDict()

    def record(
        self,
        service: ServiceName,
        parts: Iterable[str],
        build: EngineBuild,
        at: float,
    ) -> None:
        """Records that a prompt with these parts was answered."""
        for part in parts:
            key = service, part, build
            known = self._answered_at.get(key, float("-inf"))
            self._answered_at[key] = max(known, at)
            self._answered_at.move_to_end(key)
        while len(self._answered_at) > _MAX_ROWS:
            self._answered_at.popitem(last=False)

    def answered_at(
        self, service: ServiceName, part: str, build: EngineBuild
    ) -> float:
        """Returns when a part was last answered, minus infinity for never."""
        return self._answered_at.get((service, part, build), float("-inf"))

    def is_sound(
        self, service: ServiceName, part: str, build: EngineBuild, now: float
    ) -> bool:
        """Whether a part is known not to crash engines of a build."""
        return now - self.answered_at(service, part, build) <= SOUND_S
