"""Which prompts wait for an engine's memory, and for how long."""

from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.policy.admissionorder import WaitingPrompt, caller_timeout_s

__all__ = ["ahead_limit_s", "is_large", "waiting_of"]

# Prompts that take less of an engine's memory never wait for it.
_LARGE_SHARE = 0.04
# Nor is a large prompt sent where reading what is ahead takes more than this
# share of its target. While it waits it can still go elsewhere; otherwise an
# engine that has just come back would get all that wait.
_AHEAD_SHARE = 0.25
# Leaves time to read the prompt on a busy engine after admission. A prompt that
# is not admitted by then is refused, so that its caller can come back.
_ADMISSION_MARGIN_S = 1.0


def is_large(call: ForwardCall, memory: int) -> bool:
    """Whether a call waits until an engine of that memory has room for it."""
    if call.prompt is None or not memory:
        return False
    return call.prompt.memory_tokens >= _LARGE_SHARE * memory


def ahead_limit_s(call: ForwardCall) -> float:
    """Returns how much may be read first where a large call goes."""
    return _AHEAD_SHARE * call.route.target_s


def waiting_of(call: ForwardCall) -> WaitingPrompt:
    """Returns a large call as those see it who let it go."""
    route = call.route
    patience = caller_timeout_s(route.target_s, route.gap_s)
    ends_at = min(call.deadline, call.arrived + patience)
    return WaitingPrompt(
        number=0,
        priority=call.priority,
        target_at=call.arrived + route.target_s,
        ends_at=ends_at - _ADMISSION_MARGIN_S,
    )
