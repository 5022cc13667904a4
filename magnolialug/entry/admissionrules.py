"""Rules for queueing large prompts until an engine has free memory."""

from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.fairness.standings import PromptFlows, prompt_flows
from magnolialug.policy.admissionorder import WaitingPrompt, caller_timeout_s

__all__ = ["flows_of", "queued_work_limit_s", "is_large", "waiting_prompt"]

# Prompts that need less of an engine's memory are sent without queueing.
_LARGE_SHARE = 0.04
# A large prompt is not sent to an engine whose queued prefill work takes more
# than this share of the prompt's latency target. A queued prompt can still go
# to another engine. Without this limit, an engine that has just come back would
# get every queued prompt.
_QUEUED_WORK_SHARE = 0.25
# Time left after admission for a busy engine to read the prompt. A prompt that
# is not admitted by then is refused, so that its caller can retry.
_ADMISSION_MARGIN_S = 1.0


def is_large(call: ForwardCall, memory: int) -> bool:
    """Whether a call must queue until an engine has room for its prompt.

    Args:
      memory: the engine's memory in tokens.
    """
    if call.prompt is None or not memory:
        return False
    return call.prompt.memory_tokens >= _LARGE_SHARE * memory


def queued_work_limit_s(call: ForwardCall) -> float:
    """Returns the most queued prefill work, in seconds, before a large call."""
    return _QUEUED_WORK_SHARE * call.route.target_s


def flows_of(call: ForwardCall) -> PromptFlows | None:
    """Returns whose prompt a large call has, None if it has no team."""
    if not call.team:
        return None
    root = call.prompt.root
    return prompt_flows(call.team, root, f"{call.digest} {root}")


def waiting_prompt(call: ForwardCall) -> WaitingPrompt:
    """Returns a large call as an entry of the admission queue."""
    route = call.route
    wait_limit_s = caller_timeout_s(route.target_s, route.gap_s)
    ends_at = min(call.deadline, call.arrived + wait_limit_s)
    return WaitingPrompt(
        number=0,
        priority=call.priority,
        target_at=call.arrived + route.target_s,
        ends_at=ends_at - _ADMISSION_MARGIN_S,
    )
