"""Time limits for starting prompts on replaced weight versions."""

__all__ = ["WeightBounds"]

# Versions remembered per model. At most one is named every few seconds.
_MAX_VERSIONS = 8


class WeightBounds:
    """Tracks when each version of a model was first named.

    A response from older weights is worthless to its caller once a newer
    version was named `bound_s` ago. Without this limit, a gateway continues to
    send prompts to an engine that answers no rollout command, and callers get
    responses from weights that the operator has long declared out of use.

    Args:
      bound_s: time from the naming of a version until older ones are refused.
    """

    def __init__(self, bound_s: float):
        self.bound_s = bound_s
        self._named_at: dict[str, dict[int, float]] = {}

    def record_version(self, model: str, version: int, now: float) -> None:
        """Records that a version has been named."""
        named_at = self._named_at.setdefault(model, {})
        named_at.setdefault(version, now)
        while len(named_at) > _MAX_VERSIONS:
            oldest = named_at.pop(min(named_at))
            following = min(named_at)
            named_at[following] = min(oldest, named_at[following])

    def only_newer(self, model: str, version: int) -> int:
        """Returns the only version named after `version`, 0 if not exactly one.

        An engine that reports not to have `version` then has that one.
        """
        newer = [v for v in self._named_at.get(model, {}) if v > version]
        return newer[0] if len(newer) == 1 else 0

    def usable_until(self, model: str, version: int) -> float:
        """Returns the time from which no prompt may start on a version."""
        newer = (
            at
            for named, at in self._named_at.get(model, {}).items()
            if named > version
        )
        return min(newer, default=float("inf")) + self.bound_s
