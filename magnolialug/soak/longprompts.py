"""Waves of long prompts beside steady short ones, and who pays for them."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence

import msgspec

from magnolialug.soak.clients import Client
from magnolialug.soak.historychecker import Form, Sent

__all__ = ["LONG_CLIENTS", "SHORT_TARGET_S", "LongPrompts", "compare_shares"]

LONG_CLIENTS = 6
# The target of the routes that short prompts use.
SHORT_TARGET_S = 0.4
# Callers of short prompts may not notice a wave: as many of them are in time
# as without it, but for this share.
_TOLERANCE = 0.02
# What chance alone does to the difference of two shares, in standard errors.
_CHANCE = 3.0
# With fewer prompts on either side, a share says little.
_LEAST_PROMPTS = 100
_BETWEEN_S = 3.0
# A wave has reached the engines by then, and its last prompts are answered.
_RISES_S = 0.5
_EBBS_S = 2.0
# A machine that is too busy to look for so long says nothing of gateways.
_LATE_LOOK_S = 0.3
_SHORT = frozenset((Form.DRAFT, Form.CHECK))


# Prompts, each with the second of its sending and whether it was in time.
_Side = list[tuple[int, bool]]


class _Span(msgspec.Struct):
    begin: float
    end: float

    def holds(self, begin: float, end: float) -> bool:
        """Whether a time lies within it."""
        return self.begin <= begin and end <= self.end


class LongPrompts:
    """Callers that send long prompts in waves.

    Attributes:
      clients: those callers; they keep their connections between waves.

    Args:
      clock: returns the time in seconds.
      later: calls something after some seconds.
      is_calm: whether no fault bears on short prompts at the moment.
      broken: is told promise and detail of what must not be.
    """

    def __init__(
        self,
        clients: Sequence[Client],
        clock: Callable[[], float],
        later: Callable[..., None],
        is_calm: Callable[[], bool],
        broken: Callable[[str, str], None],
    ):
        self.clients = clients
        self._clock = clock
        self._later = later
        self._is_calm = is_calm
        self._broken = broken
        self._waves: list[_Span] = []
        self._calm: list[_Span] = []
        self._looked_at = 0.0
        self._was_calm = False
        for client in clients:
            client.shares = {Form.LONG: 1}
            client.paused = True

    def begin(self, for_s: float) -> None:
        """Lets long prompts come for a while, unless some came just now."""
        now = self._clock()
        if self._waves and now < self._waves[-1].end + _BETWEEN_S:
            return
        self._waves.append(_Span(now, now + for_s))
        self._pause(False)
        self._later(for_s, self._pause, True)

    def _pause(self, paused: bool) -> None:
        for client in self.clients:
            client.paused = paused

    def look(self) -> None:
        """Notes whether all is calm; to be called several times a second."""
        now = self._clock()
        is_continued = self._was_calm and now - self._looked_at <= _LATE_LOOK_S
        self._looked_at, self._was_calm = now, self._is_calm()
        if not self._was_calm:
            return
        if is_continued:
            self._calm[-1].end = now
        else:
            self._calm.append(_Span(now, now))

    def check(self, rows: Iterable[Sent], outcomes: Counter[str]) -> None:
        """Compares short prompts beside waves with those without.

        Args:
          outcomes: is told how many there were of each, and how many late.
        """
        beside: _Side = []
        without: _Side = []
        for row in rows:
            side = self._side(row, beside, without)
            in_time = is_in_time(row)
            if side is not None and in_time is not None:
                side.append((int(row.at), in_time))
        for name, side in (("beside", beside), ("without", without)):
            outcomes[f"short {name} long"] = len(side)
            outcomes[f"short {name} long, late"] = sum(
                not in_time for _, in_time in side
            )
        detail = compare_shares(beside, without)
        if detail:
            self._broken("SHORT", detail)

    def _side(self, row: Sent, beside: _Side, without: _Side) -> _Side | None:
        """Returns where a prompt counts, None if it does not."""
        begin, end = row.at, row.at + SHORT_TARGET_S
        is_short = row.form in _SHORT and not row.resumes
        if not is_short or not any(s.holds(begin, end) for s in self._calm):
            return None
        if any(
            wave.begin + _RISES_S <= begin < wave.end for wave in self._waves
        ):
            return beside
        if any(
            wave.begin - SHORT_TARGET_S <= begin < wave.end + _EBBS_S
            for wave in self._waves
        ):
            return None
        return without


def is_in_time(row: Sent) -> bool | None:
    """Whether a prompt got its first event in time.

    Returns:
      None if its caller left before one could tell.
    """
    if row.first_event_at is not None:
        return row.first_event_at - row.at <= SHORT_TARGET_S
    if row.left_at is not None and row.left_at - row.at < SHORT_TARGET_S:
        return None
    return False


def compare_shares(
    beside: Sequence[tuple[int, bool]], without: Sequence[tuple[int, bool]]
) -> str:
    """Returns how much fewer are in time beside waves, "" if it is little.

    Args:
      beside: prompts, each with its second and whether it was in time.
      without: the same of those without long prompts.
    """
    if min(len(beside), len(without)) < _LEAST_PROMPTS:
        return ""
    with_waves, share = _share(beside), _share(without)
    # The variance at the tolerated share; at a share of 1.0 it would be 0.
    expected = max(share - _TOLERANCE, 0.5)
    variance = expected * (1 - expected)
    error = math.sqrt(
        sum(
            max(variance / len(side), _cluster_variance(side))
            for side in (beside, without)
        )
    )
    if with_waves >= share - _TOLERANCE - _CHANCE * error:
        return ""
    return (
        f"{with_waves:.3f} of {len(beside)} short prompts in time beside long"
        f" ones, {share:.3f} of {len(without)} without, error {error:.3f}"
    )


def _share(side: Sequence[tuple[int, bool]]) -> float:
    return sum(in_time for _, in_time in side) / len(side)


def _cluster_variance(side: Sequence[tuple[int, bool]]) -> float:
    """Returns the variance of a share whose clusters are seconds.

    Prompts of one second wait for the same reading, so they are late together.
    """
    share = _share(side)
    deviations: dict[int, float] = defaultdict(float)
    for second, in_time in side:
        deviations[second] += in_time - share
    count = len(deviations)
    if count < 2:
        return 0.0
    squares = sum(row * row for row in deviations.values())
    return count / (count - 1) * squares / len(side) ** 2
