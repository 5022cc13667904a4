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
    """

    model: str
    parts: tuple[Part, ...]
    tokens_in: int
    tokens_out: int

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that a returning prompt brings again."""
        return self.parts[:-1]

    @property
    def root(self) -> str:
        """The name by which a returning prompt finds its engines.

        It is the last shared part: the first ones are shared by so many
        prompts that they would all meet at one engine.
        """
        return self.parts[-2].name if len(self.parts) > 1 else ""
