"""A prompt as placement sees it: its parts and their sizes."""

import msgspec

__all__ = ["Part", "Prompt"]


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt, which other prompts may share."""

    name: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What is known of a prompt before it is read.

    Attributes:
      parts: in order; the last one belongs to the request alone.
      tokens_in: the length of the whole prompt.
      tokens_out: the most tokens of the answer.
      hinted_out: its caller's estimate of them, 0 if it gives none.
    """

    model: str
    parts: tuple[Part, ...]
    tokens_in: int
    tokens_out: int
    hinted_out: int = 0

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that a returning prompt brings again."""
        return self.parts[:-1]

    @property
    def memory_tokens(self) -> int:
        """Tokens of an engine's memory that the request is expected to take.

        Callers allow for two to three times of what answers have in the mean;
        their estimates are right in the median. Counting what is allowed,
        engines were believed full with a fifth of their memory free.
        """
        expected = self.hinted_out or self.tokens_out
        return self.tokens_in + min(expected, self.tokens_out)

    @property
    def root(self) -> str:
        """The name by which a returning prompt finds its engines.

        It is the last shared part: the first ones are shared by so many
        prompts that they would all meet at one engine.
        """
        return self.parts[-2].name if len(self.parts) > 1 else ""
