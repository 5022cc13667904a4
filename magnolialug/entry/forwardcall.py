"""A request that is passed on as it came."""

from magnolialug.config.routing import Route
from magnolialug.entry.call import Call
from magnolialug.ids import RequestDigest
from magnolialug.policy.cachenamespace import cache_namespace
from magnolialug.policy.prompt import Prompt

__all__ = ["ForwardCall", "HeaderList"]

HeaderList = list[tuple[bytes, bytes]]


class ForwardCall(Call, frozen=True, kw_only=True):
    """A request whose method, target, headers and body stay unchanged.

    Attributes:
      digest: the same for each time that its caller sends it.
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
    digest: RequestDigest
    prompt: Prompt | None = None
    priority: int = 0
    isolated: bool = False
    resume_after: int = 0

    def salt(self, weights: int) -> str:
        """Returns the text under which cache is shared.

        Parts read under other weights, or by an isolated team, must never be
        found; the engine looks under the same salt only. While an engine's
        version is not known, a request shares with no other.

        Args:
          weights: the version at the engine, 0 if not known.
        """
        team = self.team if self.isolated else ""
        return (
            cache_namespace(team, self.prompt.model, weights) or f"?{self.name}"
        )
