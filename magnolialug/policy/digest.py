"""Tells whether two requests are the same, whatever ids they have."""

from hashlib import blake2b

from magnolialug.ids import RequestDigest, TeamId

__all__ = ["digest_of"]

# 128 bits: among a billion requests no two have the same one by chance.
_DIGEST_BYTES = 16


def digest_of(team: TeamId, target: bytes, body: bytes) -> RequestDigest:
    """Returns what names a request by its caller, path and body.

    A caller that asks again gives its request a new id. Lengths go in first,
    so that no part of one field can pass for the end of another.
    """
    name = team.encode()
    sizes = b"%d %d " % (len(name), len(target))
    digest = blake2b(sizes + name + target, digest_size=_DIGEST_BYTES)
    digest.update(body)
    return RequestDigest(digest.hexdigest())
