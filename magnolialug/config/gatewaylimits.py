"""The limits of what a gateway holds for callers, for docs/CONFIG.md."""

import msgspec

__all__ = ["GATEWAY_LIMITS", "GatewayLimit"]


class GatewayLimit(msgspec.Struct, frozen=True):
    """One limit, which follows from the settings or is fixed.

    Attributes:
      default: its value, or how it follows from the settings.
      meaning: what it bounds, and who gives way.
      answer: what the caller gets who meets it.
      metric: what shows it.
      event: what is logged.
    """

    name: str
    default: str
    meaning: str
    answer: str
    metric: str
    event: str


GATEWAY_LIMITS = (
    GatewayLimit(
        "callers' memory",
        "45 % of `limits.memoryMb` (150 if it is not set), at most all of it"
        " less 75 MB, at least 8 MB",
        "all heads, bodies, buffers and parts of prompts that are held for"
        " callers; callers that lag give way first, those that hold most"
        " before others",
        "503, 323 NO_MEMORY, `Retry-After: 1`; an answer that is not read is"
        " broken off",
        "`caller_memory_bytes`, `caller_memory_limit_bytes`,"
        " `callers_gave_way{reason=memory}`, `refusals{code=NO_MEMORY}`",
        "1008, 1009",
    ),
    GatewayLimit(
        "large requests",
        "75 % of callers' memory; one of them may always have what"
        " `maxBodyBytes` allows",
        "requests of over 64 KB together, so that ordinary ones have room",
        "503, 323 NO_MEMORY, `Retry-After: 1`, before the body is read",
        "`refusals{code=NO_MEMORY}`",
        "1008, 1009",
    ),
    GatewayLimit(
        "answers read ahead",
        "an eighth of callers' memory for each, while less than half of it is"
        " held by all",
        "what an endpoint has sent and its caller has not read, but for streams"
        " of events; beyond it the endpoint's connection is not read",
        "none: it waits",
        "`caller_memory_bytes`",
        "none",
    ),
    GatewayLimit(
        "callers' connections",
        "60 % of `limits.fileDescriptors` less 200 for files, or of what the"
        " kernel allows if that is less",
        "connections of callers; at the limit those give way that never sent a"
        " whole request, then those that have been idle for the longest, if"
        " nothing has happened on them for 0.25 s",
        "a closed connection, and nothing of it was read",
        "`caller_connections`, `callers_gave_way{reason=descriptors}`,"
        " `connections_refused{reason=descriptors}`",
        "1010, 1011",
    ),
    GatewayLimit(
        "connections for readiness and for metrics",
        "64 each",
        "connections to the two other listeners; the oldest gives way",
        "a closed connection; 413 for a request with a body; requests ahead"
        " are not served",
        "`callers_gave_way{reason=ready}`, `callers_gave_way{reason=metrics}`",
        "1014",
    ),
    GatewayLimit(
        "work of one connection",
        "one request, or 4 KB of chunks with over 64 pieces, in each pass of"
        " the event loop",
        "what callers send ahead or in small chunks; one such connection goes"
        " on in each pass, and none whose caller does not read",
        "none: it waits",
        "`connections_deferred`",
        "1012, 1013",
    ),
    GatewayLimit(
        "lines of a head",
        "508",
        "also those in which a header goes on",
        "413, 101 BODY_TOO_LARGE",
        "`refusals{code=BODY_TOO_LARGE}`",
        "2004",
    ),
    GatewayLimit(
        "trailers of a chunked body",
        "`maxHeaderBytes`",
        "lines behind the last chunk, which are read and left out",
        "400, 105 AMBIGUOUS_HEADER",
        "`refusals{code=AMBIGUOUS_HEADER}`",
        "2004",
    ),
    GatewayLimit(
        "lag",
        "1 s without 32 KB/s",
        "a caller that sends or reads more slowly gives way to others, if there"
        " is no room for them otherwise",
        "503, 323 NO_MEMORY, `Retry-After: 1`",
        "`callers_gave_way{reason=memory}`",
        "1008, 1009",
    ),
)
