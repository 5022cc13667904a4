"""A request that is forwarded unchanged."""

from magnolialug.config.routing import Route
from magnolialug.entry.call import Call
from magnolialug.entry.requestbody import RequestBody
from magnolialug.ids import RequestDigest, SoftwareVersion
from magnolialug.policy.cachenamespace import cache_namespace
from magnolialug.policy.prompt import Prompt
from magnolialug.policy.requestidentity import RequestIdentity, part_names

__all__ = ["ForwardCall", "HeaderList"]

HeaderList = list[tuple[bytes, bytes]]


class ForwardCall(Call, frozen=True, kw_only=True):
    """A request whose method, target, headers and body stay unchanged.

    Attributes:
      digest: identifies the request; equal each time its caller sends it.
      headers: the caller's headers that are passed to the endpoint, in order.
      prompt: None if the route carries no prompts.
      priority: 0 is the most urgent.
      isolated: whether its team shares no cached parts with other teams.
      resume_after: the id of the last event that the caller received, 0 for
        none.
      resumes: the request that brought the first event of the stream that this
        one takes up, "" if the caller names none.
      software: the software version of the endpoints that may serve it, None
        for any. Two versions' parts of one stream do not fit together.
    """

    route: Route
    method: bytes
    target: bytes
    headers: HeaderList
    body: RequestBody
    digest: RequestDigest
    prompt: Prompt | None = None
    priority: int = 0
    isolated: bool = False
    resume_after: int = 0
    resumes: str = ""
    software: SoftwareVersion | None = None

    @property
    def identity(self) -> RequestIdentity:
        """What identifies it to the quarantine."""
        parts = self.prompt.shared if self.prompt else ()
        names = part_names(part.name for part in parts)
        return RequestIdentity(self.digest, self.service, self.team, names)

    @property
    def takes_up_stream(self) -> bool:
        """Whether its caller has part of a stream and asks for the rest."""
        return self.route.resumable and self.resume_after > 0

    def cache_namespace(self, weights: int) -> str:
        """Returns the cache namespace of the request's parts.

        Parts that were computed with other weights, or for an isolated team,
        must never be found; an engine only looks in the same namespace. While
        the version at an engine is not known, the request gets a namespace of
        its own.

        Args:
          weights: the version at the engine, 0 if not known.
        """
        team = self.team if self.isolated else ""
        return (
            cache_namespace(team, self.prompt.model, weights) or f"?{self.name}"
        )
