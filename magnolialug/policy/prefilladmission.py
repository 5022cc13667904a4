"""Decides whether an engine may read a long prompt beside its streams."""

import msgspec

from magnolialug.policy.enginepace import DEFAULT_EVENT_S

__all__ = ["WrittenStreams", "admits_prefill"]

# While less than this share of the allowed pause is left to read, the next long
# prompt may follow, so that the engine does not run idle in between. A short
# prompt that arrives meanwhile waits no longer than that either.
_NEARLY_READ_SHARE = 0.15
# Leaves room for an error of the rate.
_PAUSE_SHARE = 0.8


class WrittenStreams(msgspec.Struct, frozen=True):
    """The streams that an engine writes.

    Attributes:
      count: streams whose first event has arrived and whose route names the
        longest pause.
      gap_s: the shortest pause that any running stream allows, 0 if none names
        one.
    """

    count: int = 0
    gap_s: float = 0.0


def admits_prefill(
    streams: WrittenStreams, pending: float, unread: float, rate: float
) -> bool:
    """Whether a long prompt keeps the pauses of an engine's streams.

    An engine reads prompts between the steps of its streams, and each stream
    waits meanwhile. Long prompts are therefore read one after another, and
    together only where the pause that they make is allowed.

    Args:
      pending: prompt tokens that the engine has still to read.
      unread: those of the new prompt.
      rate: prompt tokens that it reads in a second.
    """
    if not streams.count or not streams.gap_s:
        return True
    if pending / rate <= _NEARLY_READ_SHARE * streams.gap_s:
        return True
    pause_s = DEFAULT_EVENT_S + (pending + unread) / rate
    return pause_s <= _PAUSE_SHARE * streams.gap_s
