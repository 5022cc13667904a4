"""Bounds what the HTTP parser remembers of header names."""

from twisted.web import http_headers

__all__ = ["bound_name_cache"]

_MAX_NAMES = 1_000
_MAX_NAME_BYTES = 64


class _NameCache(dict):
    """Remembers the usual spelling of short names, up to a number of them.

    The parser's own cache bounds their number alone, so that callers could
    fill it with names as long as a head may be.
    """

    def __setitem__(self, name: bytes | str, spelling: bytes) -> None:
        if len(name) <= _MAX_NAME_BYTES and len(self) < _MAX_NAMES:
            super().__setitem__(name, spelling)


def bound_name_cache() -> None:
    """Replaces the parser's cache, once in a process."""
    encoder = http_headers._nameEncoder
    if not isinstance(encoder._canonicalHeaderCache, _NameCache):
        encoder._canonicalHeaderCache = _NameCache()
