"""Digests that identify equal requests regardless of their ids."""

from hashlib import blake2b

from magnolialug.ids import RequestDigest, TeamId

__all__ = ["request_digest"]

# 128 bits: no two of a billion requests have the same digest by chance.
_DIGEST_BYTES = 16


def request_digest(team: TeamId, target: bytes, *body: bytes) -> RequestDigest:
    """Returns the digest of a request's team, path and body.

    A caller that retries sends its request under a new id. The lengths are
    hashed first, so that the boundaries between fields are unambiguous.

    Args:
      body: the blocks of the body, however they divide it.
    """
    name = team.encode()
    sizes = b"%d %d " % (len(name), len(target))
    digest = blake2b(sizes + name + target, digest_size=_DIGEST_BYTES)
    for block in body:
        digest.update(block)
    return RequestDigest(digest.hexdigest())
