"""Which prompts wait for an engine's memory, and for how long."""

from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.policy.admissionorder import Waiting, patience_s

__all__ = ["ahead_limit_s", "is_large", "waiting_of"]

# Prompts that take less of an engine's memory never wait for it.
_LARGE_SHARE = 0.04
# Nor does a large prompt go where reading what is ahead takes more than this
# share of its target. It can still go elsewhere while it waits here: an engine
# that had just come back got 28 prompts at once, and read for 3 s.
_AHEAD_SHARE = 0.25
# A prompt that has not had its turn this long before its caller leaves is
# refused, so that the caller can come back: on a busy engine its first event
# takes that long. Half of it lost 30 callers on a day of overload after their
# prompts had been read.
_MARGIN_S = 1.0


def is_large(call: ForwardCall, memory: int) -> bool:
    """Whether a call waits until an engine of that memory has room for it."""
    if call.prompt is None or not memory:
        return False
    return call.prompt.memory_tokens >= _LARGE_SHARE * memory


def ahead_limit_s(call: ForwardCall) -> float:
    """Returns how much may be read first where a large call goes."""
    return _AHEAD_SHARE * call.route.target_s


def waiting_of(call: ForwardCall) -> Waiting:
    """Returns a large call as those see it who let it go."""
    route = call.route
    patience = patience_s(route.target_s, route.gap_s)
    ends_at = min(call.deadline, call.arrived + patience)
    return Waiting(
        number=0,
        priority=call.priority,
        target_at=call.arrived + route.target_s,
        ends_at=ends_at - _MARGIN_S,
    )
