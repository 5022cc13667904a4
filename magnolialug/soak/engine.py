"""A model engine whose events name the run that made them."""

from magnolialug.standin.endpoint import Received
from magnolialug.standin.modelserver import ModelServerStandin

__all__ = ["Engine"]


class Engine(ModelServerStandin):
    """A model engine whose words name the request they belong to.

    Attributes:
      software: the version of its software.
    """

    software = "v1"

    def text(self, req: Received, number: int) -> bytes:
        """Returns an event's data."""
        words = (req.request_id, self.instance, str(number), self.software)
        return "/".join(words).encode()
