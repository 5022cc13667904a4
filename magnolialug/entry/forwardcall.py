"""A request that is passed on as it came."""

from magnolialug.config.routing import Route
from magnolialug.entry.call import Call
from magnolialug.policy.prompt import Prompt

__all__ = ["ForwardCall", "HeaderList"]

HeaderList = list[tuple[bytes, bytes]]


class ForwardCall(Call, frozen=True, kw_only=True):
    """A request whose method, target, headers and body stay unchanged.

    Attributes:
      headers: the caller's own that concern the endpoint, in order.
      prompt: None where the route carries no prompts.
      priority: 0 is the most urgent.
      isolated: whether its team shares cache with no other.
      resume_after: the last event that the caller already has, 0 for none.
    """

    route: Route
    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    prompt: Prompt | None = None
    priority: int = 0
    isolated: bool = False
    resume_after: int = 0
