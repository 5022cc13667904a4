"""Ids of cache blocks: a keyed hash chain over the prompt."""

from hashlib import blake2b

from magnolialug.ids import BlockId, TeamId, WeightVersion

__all__ = [
    "BLOCK_TOKENS",
    "BYTES_PER_TOKEN",
    "block_chain",
    "block_digest",
    "chain_seed",
    "prompt_root",
    "token_count",
]

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 256
_BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
_ID_BYTES = 16
_ROOT_BLOCKS = 4


def chain_seed(
    team: TeamId, model: str, weights: WeightVersion, adapter: str = ""
) -> bytes:
    """Returns the hash key of a block chain.

    Two teams that send the same prompt, or one team across two weight
    versions, get different seeds and so share no block id. Each argument is
    preceded by its length, so that different arguments never give the same
    hash input.
    """
    digest = blake2b(digest_size=32)
    for part in (team, model, weights, adapter):
        data = part.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.digest()


def token_count(prompt: str) -> int:
    """Returns the estimated number of tokens in a prompt."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def block_chain(seed: bytes, prompt: str) -> list[BlockId]:
    """Returns the ids of the prompt's full blocks, first to last.

    Each id covers the whole prefix up to the end of its block, so equal ids
    mean the same prefix, team, model, weight version and adapter.
    """
    data = prompt.encode()
    parent = b""
    ids = []
    for start in range(0, len(data) - _BLOCK_BYTES + 1, _BLOCK_BYTES):
        chunk = data[start : start + _BLOCK_BYTES]
        parent = blake2b(
            parent + chunk, key=seed, digest_size=_ID_BYTES
        ).digest()
        ids.append(BlockId(parent.hex()))
    return ids


def block_digest(data: bytes) -> str:
    """Returns the digest with which a reader verifies a block."""
    return blake2b(data, digest_size=_ID_BYTES).hexdigest()


def prompt_root(team: TeamId, prompt: str, cache_key: str = "") -> str:
    """Returns the hash by which a returning prompt finds its endpoints.

    Args:
      team: part of the hash, so that two teams never share a root.
      prompt: only its first blocks are hashed, so that a prompt that has
        grown at its end keeps its root.
      cache_key: the caller's name for the prompt; if given, it is hashed
        instead of the prompt.
    """
    head = cache_key or prompt.encode()[: _ROOT_BLOCKS * _BLOCK_BYTES].decode(
        errors="ignore"
    )
    kind = "key" if cache_key else "head"
    return chain_seed(team, kind, WeightVersion(head)).hex()[:32]
