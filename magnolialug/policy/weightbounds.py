"""Until when prompts may begin on weights that have been replaced."""

__all__ = ["WeightBounds"]

# Versions remembered for each model. One is named every few seconds at most.
_KEPT = 8


class WeightBounds:
    """When each version of a model was first heard of.

    An answer on older weights is worth nothing to its caller once a newer
    version was named a bound ago. Without this a gateway goes on sending
    prompts to an engine that leaves all orders unanswered, and one would
    notice answers on weights of which the operator has long said that they
    are not to be used.

    Args:
      bound_s: from the naming of a version until older ones are barred.
    """

    def __init__(self, bound_s: float):
        self.bound_s = bound_s
        self._heard: dict[str, dict[int, float]] = {}

    def heard(self, model: str, version: int, now: float) -> None:
        """Learns that a version has been named."""
        heard = self._heard.setdefault(model, {})
        heard.setdefault(version, now)
        while len(heard) > _KEPT:
            oldest = heard.pop(min(heard))
            following = min(heard)
            heard[following] = min(oldest, heard[following])

    def only_newer(self, model: str, version: int) -> int:
        """Returns the only version named after another, 0 if not only one.

        An engine that says it has not the one has the other.
        """
        newer = [v for v in self._heard.get(model, {}) if v > version]
        return newer[0] if len(newer) == 1 else 0

    def usable_until(self, model: str, version: int) -> float:
        """Returns when prompts may no longer begin on a version."""
        newer = (
            at
            for named, at in self._heard.get(model, {}).items()
            if named > version
        )
        return min(newer, default=float("inf")) + self.bound_s
