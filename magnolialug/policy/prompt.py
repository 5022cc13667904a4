"""A prompt as placement uses it: its parts and their sizes."""

import msgspec

__all__ = ["Part", "Prompt"]


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that other prompts may share."""

    name: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What is known of a prompt before prefill.

    Attributes:
      parts: in order; no other request shares the last one.
      input_tokens: the length of the whole prompt.
      max_output_tokens: the upper bound on the answer's length.
      hinted_output_tokens: the caller's estimate of the answer's length, 0
        if it gives none.
    """

    model: str
    parts: tuple[Part, ...]
    input_tokens: int
    max_output_tokens: int
    hinted_output_tokens: int = 0

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that a returning prompt contains again."""
        return self.parts[:-1]

    @property
    def memory_tokens(self) -> int:
        """Tokens of an engine's memory that the request is expected to use.

        Callers' upper bounds are two to three times the mean length of
        answers; their estimates are right in the median. Counting the upper
        bounds, engines appeared full with a fifth of their memory free.
        """
        expected = self.hinted_output_tokens or self.max_output_tokens
        return self.input_tokens + min(expected, self.max_output_tokens)

    @property
    def root(self) -> str:
        """The name by which a returning prompt finds its engines.

        It is the last shared part. So many prompts share the first ones that
        all of them would go to the same engine.
        """
        return self.parts[-2].name if len(self.parts) > 1 else ""
