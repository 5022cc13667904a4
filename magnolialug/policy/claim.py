"""Claims, with which a non-idempotent request runs at most once."""

import enum
from hashlib import blake2b

import msgspec

from magnolialug.attempt import Attempt
from magnolialug.ids import EndpointId
from magnolialug.result import Code, Failure, failed

__all__ = [
    "Claim",
    "ClaimAction",
    "next_action",
    "body_digest",
    "claim_key",
    "decode_claim",
    "encode_claim",
]


class Claim(msgspec.Struct, frozen=True):
    """The exclusive right of one attempt to run a non-idempotent request.

    Attributes:
      writer: a unique id of this write, by which a writer recognises its own
        claim after the reply to the write was lost.
      digest: of the body, to distinguish a reused key from a duplicate.
      endpoint: where the attempt runs.
      answer: the complete answer once it is known, None before.
      unrun: whether the attempt did not run and never will.
    """

    writer: str
    digest: str
    endpoint: EndpointId
    attempt: Attempt
    answer: str | None = None
    unrun: bool = False


class ClaimAction(enum.Enum):
    """What an entry does after it has read or written a claim."""

    RUN = "run"
    FOLLOW = "follow"
    READ_BACK = "read back"
    MOVE = "move"
    ANSWERED = "answered"


def claim_key(team: str, service: str, key: str) -> str:
    """Returns the key of a claim in the key-value service.

    The caller's key is hashed.
    """
    name = blake2b(key.encode(), digest_size=16).hexdigest()
    return f"magnolialug/claims/{team}/{service}/{name}"


def body_digest(kind: str, body: str) -> str:
    """Returns the digest that distinguishes duplicates from reused keys."""
    data = f"{kind}\0{body}".encode()
    return blake2b(data, digest_size=16).hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Returns a claim as it is written to the key-value service."""
    return msgspec.json.encode(claim)


def decode_claim(data: bytes) -> Claim:
    """Returns the claim in a value of the key-value service."""
    return msgspec.json.decode(data, type=Claim)


def next_action(mine: Claim, found: Claim | None) -> ClaimAction | Failure:
    """Decides what to do after a create-if-absent or a read.

    Args:
      mine: the claim to be written.
      found: the claim that is stored, None if the key is absent.
    """
    if found is None:
        return ClaimAction.READ_BACK
    if found.writer == mine.writer:
        return ClaimAction.RUN
    if found.digest != mine.digest:
        return failed(Code.KEY_REUSED, field="Idempotency-Key")
    if found.answer is not None:
        return ClaimAction.ANSWERED
    return ClaimAction.MOVE if found.unrun else ClaimAction.FOLLOW
