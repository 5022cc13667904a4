"""An entry's estimate of an endpoint's load."""

from collections.abc import Mapping

import msgspec

from magnolialug.ids import EndpointId, Incarnation, ZoneId
from magnolialug.policy.slots import usable_slots

__all__ = [
    "EndpointView",
    "clear_unreported",
    "merge_tokens",
    "queue_seconds",
    "sent",
]

_OWN_WORK_MAX_AGE_S = 2.0


class EndpointView(msgspec.Struct):
    """One endpoint as seen from one entry.

    Attributes:
      slots: attempts that the endpoint can run at the same time.
      cache_tokens: size of its prefix cache.
      queued_by_priority: prompt tokens waiting, by priority number.
      prefill_rate: prompt tokens per second.
      run_s: estimated time that one attempt occupies a slot, in seconds.
      filled: tokens put into the engine's cache since its start.
      epoch: its cache epoch.
      clock_offset: its monotonic clock minus this entry's, as of its last
        status.
      heard_at: time on this entry's clock when its last status arrived.
      own_tokens: tokens that this entry has sent and no status counts yet.
      own_attempts: attempts that this entry has sent and no status counts yet.
      own_at: time on this entry's clock when it last sent an attempt.
      slow_start: usable share of its capacity after it has returned, 0 to 1.
    """

    endpoint: EndpointId
    zone: ZoneId
    slots: int
    cache_tokens: int
    incarnation: Incarnation = Incarnation("")
    weights: str = ""
    running: int = 0
    queued: int = 0
    queued_by_priority: tuple[int, ...] = ()
    prefill_rate: float = 4000.0
    run_s: float = 2.0
    filled: int = 0
    epoch: int = 0
    clock_offset: float = 0.0
    heard_at: float = 0.0
    own_tokens: int = 0
    own_attempts: int = 0
    own_at: float = 0.0
    slow_start: float = 1.0


def sent(view: EndpointView, tokens: int, now: float) -> None:
    """Counts an attempt that was just sent and is in no status yet.

    Statuses lag. Without this, a whole burst between two statuses would go to
    the endpoint that looked idle, and queue there while others are idle.
    """
    view.own_tokens += tokens
    view.own_attempts += 1
    view.own_at = now


def merge_tokens(
    queued: tuple[int, ...], prefilling: Mapping[int, int]
) -> tuple[int, ...]:
    """Returns the tokens before a new prompt's own, by priority.

    Prompts that were handed to the engine but have no first token yet still
    delay others of their priority, although they are no longer in the queue.

    Args:
      queued: tokens in the sidecar's queue, by priority.
      prefilling: tokens of prompts at the engine without a first token, by
        priority.
    """
    size = max(len(queued), max(prefilling, default=-1) + 1)
    return tuple(
        (queued[n] if n < len(queued) else 0) + prefilling.get(n, 0)
        for n in range(size)
    )


def clear_unreported(view: EndpointView) -> None:
    """Resets the counts of attempts sent, since a status now counts them."""
    view.own_tokens = 0
    view.own_attempts = 0


def queue_seconds(view: EndpointView, priority: int, now: float) -> float:
    """Returns the expected wait for the start of a new prompt, in seconds."""
    own_tokens = view.own_tokens
    own_attempts = view.own_attempts
    if now - view.own_at > _OWN_WORK_MAX_AGE_S:
        own_tokens = own_attempts = 0
    ahead = sum(view.queued_by_priority[: priority + 1]) + own_tokens
    rate = view.prefill_rate * max(0.05, view.slow_start)
    wait = ahead / rate
    usable = usable_slots(view.slots, priority)
    taken = view.running + own_attempts
    if priority > 0:
        taken += view.queued
    over = taken - usable + 1
    return wait + max(0, over) * view.run_s / view.slots
