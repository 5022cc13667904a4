"""Numbered result codes and the sentinel that carries one with its reason."""

import enum

import msgspec

__all__ = ["CODES", "Code", "CodeSpec", "Executed", "Failure", "failed"]


class Executed(enum.Enum):
    """Whether the endpoint ran the request that a result speaks of."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Code(enum.Enum):
    """Every numbered result; the number never changes its meaning."""

    MALFORMED_JSON = 100
    BODY_TOO_LARGE = 101
    WRONG_TYPE = 102
    MISSING_FIELD = 103
    UNKNOWN_FIELD_VALUE = 104
    AMBIGUOUS_HEADER = 105
    BODY_TOO_SLOW = 106
    MISSING_IDEMPOTENCY_KEY = 107
    KEY_REUSED = 108
    BAD_PREVIEW = 109
    UNREADABLE_REQUEST = 110
    UNAUTHENTICATED = 200
    UNKNOWN_TEAM = 201
    UNKNOWN_SERVICE = 202
    UNKNOWN_KIND = 203
    UNKNOWN_MODEL = 204
    UNKNOWN_REQUEST = 205
    UNKNOWN_PATH = 206
    RATE_LIMITED = 300
    TOO_MANY_CONCURRENT = 301
    NO_ENDPOINT = 302
    WAIT_EXCEEDED = 303
    DRAINING = 304
    STALE_INCARNATION = 305
    STALE_DISPATCH = 306
    SEALED = 307
    WRONG_WEIGHTS = 308
    KV_UNAVAILABLE = 309
    RETRY_BUDGET_SPENT = 310
    QUEUE_FULL = 311
    ATTEMPTS_SPENT = 312
    WRONG_ENDPOINT = 313
    NO_ROOM = 314
    QUARANTINED = 315
    EVACUATED = 316
    COLD = 317
    LIMITED = 318
    VERSION_GONE = 319
    ORIGIN_UNKNOWN = 320
    RESTING = 321
    TOO_MANY_PREVIEWS = 322
    NO_MEMORY = 323
    REGISTRY_UNCONFIRMED = 324
    OUTCOME_UNKNOWN = 400
    ENDPOINT_FAILED = 401
    ANSWER_GONE = 402
    CANCELLED = 403
    ANSWER_TOO_LARGE = 404
    TIMED_OUT = 405
    FRAME_TOO_LARGE = 500
    FRAME_ILL_TYPED = 501
    CONNECTION_SILENT = 502
    CONNECTION_CLOSED = 503
    CONNECTION_REFUSED = 504
    WINDOW_EXCEEDED = 505
    BAD_CONFIG_SYNTAX = 600
    BAD_CONFIG_FIELD = 601
    BAD_CONFIG_TYPE = 602
    BAD_CONFIG_VALUE = 603
    BAD_CONFIG_REFERENCE = 604
    BAD_CONFIG_OVERRIDE = 605
    CONFIG_CONFLICT = 606
    CONFIG_MISSING = 607
    BAD_SETTINGS = 608
    BAD_ENTRY = 609
    BAD_EVACUATION = 610
    BAD_SEND_LIMIT = 611
    BAD_LEAVING = 612
    BAD_REST = 613
    KV_TIMEOUT = 700
    KV_ERROR = 701
    KV_REFUSED = 702
    KV_HISTORY_GONE = 703
    KV_LEASE_GONE = 704
    KV_NONSENSE = 705
    KV_UNREACHABLE = 706
    KV_ANSWER_TOO_LONG = 707
    BLOCK_MISSING = 800
    BLOCK_DAMAGED = 801
    STORE_FULL = 802
    STORE_UNAVAILABLE = 803
    FENCED = 804


class CodeSpec(msgspec.Struct, frozen=True):
    """What a code means to a caller.

    Attributes:
      status: HTTP status sent with it.
      executed: whether the endpoint ran the request.
      meaning: one sentence for docs/ERRORS.md.
    """

    status: int
    executed: Executed
    meaning: str


def _rows(executed: Executed, *rows: tuple[Code, int, str]):
    return {
        code: CodeSpec(status, executed, text) for code, status, text in rows
    }


CODES: dict[Code, CodeSpec] = {
    **_rows(
        Executed.NO,
        (Code.MALFORMED_JSON, 400, "The body is not a JSON object."),
        (Code.BODY_TOO_LARGE, 413, "The body or a header is over its limit."),
        (Code.WRONG_TYPE, 400, "A field has the wrong type."),
        (Code.MISSING_FIELD, 400, "A required field is missing."),
        (Code.UNKNOWN_FIELD_VALUE, 400, "A field's value is not allowed."),
        (Code.AMBIGUOUS_HEADER, 400, "The headers can be read two ways."),
        (Code.BODY_TOO_SLOW, 408, "The request was sent too slowly."),
        (
            Code.MISSING_IDEMPOTENCY_KEY,
            400,
            "A non-idempotent kind needs an Idempotency-Key header.",
        ),
        (Code.KEY_REUSED, 422, "The idempotency key names another body."),
        (Code.BAD_PREVIEW, 400, "A parameter of a preview is wrong."),
        (Code.UNREADABLE_REQUEST, 400, "The request cannot be read."),
        (Code.UNAUTHENTICATED, 401, "No bearer key was given."),
        (Code.UNKNOWN_TEAM, 401, "The bearer key belongs to no team."),
        (Code.UNKNOWN_SERVICE, 404, "No such service is configured."),
        (Code.UNKNOWN_KIND, 404, "The service has no such kind."),
        (Code.UNKNOWN_MODEL, 404, "No service offers this model."),
        (Code.UNKNOWN_REQUEST, 404, "The team has no such request."),
        (Code.UNKNOWN_PATH, 404, "No such path or method."),
        (Code.RATE_LIMITED, 429, "The team is over its rate."),
        (Code.TOO_MANY_CONCURRENT, 429, "The team is over its concurrency."),
        (Code.NO_ENDPOINT, 503, "No endpoint can take the request."),
        (
            Code.WAIT_EXCEEDED,
            503,
            "The first word cannot come within the kind's wait.",
        ),
        (Code.DRAINING, 503, "The process is leaving and takes no new work."),
        (
            Code.STALE_INCARNATION,
            503,
            "The sidecar has restarted since the request was addressed to it.",
        ),
        (
            Code.STALE_DISPATCH,
            503,
            "The dispatch is older than the sidecar's seals reach back.",
        ),
        (Code.SEALED, 503, "The attempt was refused before and stays so."),
        (
            Code.WRONG_WEIGHTS,
            503,
            "The endpoint serves another weight version than the one chosen.",
        ),
        (
            Code.KV_UNAVAILABLE,
            503,
            "The claim could not be made within the kind's wait.",
        ),
        (
            Code.RETRY_BUDGET_SPENT,
            503,
            "Refused as not run, and the retry budget is spent.",
        ),
        (Code.QUEUE_FULL, 503, "The endpoint's queue is full."),
        (Code.NO_ROOM, 503, "No endpoint has room."),
        (
            Code.COLD,
            503,
            "The endpoints have just started and take little new work.",
        ),
        (
            Code.LIMITED,
            503,
            "The endpoints have limited how many requests they accept.",
        ),
        (
            Code.RESTING,
            503,
            "The endpoints have asked for a time without requests.",
        ),
        (
            Code.NO_MEMORY,
            503,
            "The process has no memory for the request at the moment.",
        ),
        (
            Code.TOO_MANY_PREVIEWS,
            429,
            "The gateway already makes as many previews as it does at once.",
        ),
        (
            Code.VERSION_GONE,
            503,
            "No endpoint has the software version that began the stream.",
        ),
        (
            Code.REGISTRY_UNCONFIRMED,
            503,
            "Whether endpoints of the stream's version serve is not known.",
        ),
        (
            Code.ORIGIN_UNKNOWN,
            503,
            "It cannot be told which software version began the stream.",
        ),
        (
            Code.EVACUATED,
            503,
            "All availability zones with endpoints for it are evacuated.",
        ),
        (
            Code.QUARANTINED,
            502,
            "Endpoints crashed under the same request; it is quarantined.",
        ),
        (
            Code.WRONG_ENDPOINT,
            503,
            "Another endpoint has the address, or it has other weights.",
        ),
        (
            Code.ATTEMPTS_SPENT,
            503,
            "Refused as not run by as many endpoints as may be tried.",
        ),
        (Code.CONNECTION_REFUSED, 503, "The sidecar could not be reached."),
    ),
    **_rows(
        Executed.UNKNOWN,
        (
            Code.OUTCOME_UNKNOWN,
            502,
            "It cannot be told whether the request ran; it is not repeated.",
        ),
        (Code.ENDPOINT_FAILED, 502, "The endpoint failed during the run."),
        (Code.TIMED_OUT, 504, "No whole answer came in time."),
        (Code.CANCELLED, 499, "The caller left before the answer was whole."),
        (Code.FRAME_TOO_LARGE, 502, "A frame is over the limit."),
        (Code.FRAME_ILL_TYPED, 502, "A frame does not decode to a message."),
        (Code.CONNECTION_SILENT, 502, "The peer's heartbeats stopped."),
        (Code.CONNECTION_CLOSED, 502, "The connection was closed."),
        (Code.WINDOW_EXCEEDED, 502, "The peer sent more than its window."),
    ),
    **_rows(
        Executed.YES,
        (Code.ANSWER_GONE, 410, "The answer is no longer kept."),
        (Code.ANSWER_TOO_LARGE, 502, "The answer is over the limit."),
    ),
    **_rows(
        Executed.NO,
        (Code.BAD_CONFIG_SYNTAX, 400, "The file is not valid TOML."),
        (Code.BAD_CONFIG_FIELD, 400, "The field is unknown or missing."),
        (Code.BAD_CONFIG_TYPE, 400, "The field has the wrong type."),
        (Code.BAD_CONFIG_VALUE, 400, "The field's value is out of range."),
        (Code.BAD_CONFIG_REFERENCE, 400, "The field names nothing declared."),
        (
            Code.BAD_CONFIG_OVERRIDE,
            400,
            "A later file sets a field again without listing it in override.",
        ),
        (
            Code.CONFIG_CONFLICT,
            409,
            "Another change was accepted first; nothing was applied.",
        ),
        (Code.CONFIG_MISSING, 503, "No configuration is known yet."),
        (Code.BAD_SETTINGS, 400, "A field of the settings file is wrong."),
        (Code.BAD_ENTRY, 502, "An endpoint's registry entry is malformed."),
        (Code.BAD_EVACUATION, 400, "The evacuation order is malformed."),
        (Code.BAD_SEND_LIMIT, 502, "The limit that an endpoint names is bad."),
        (Code.BAD_LEAVING, 502, "An endpoint's leaving notice is malformed."),
        (Code.BAD_REST, 502, "The rest period that an endpoint names is bad."),
        (Code.KV_TIMEOUT, 504, "The key-value service did not answer."),
        (Code.KV_ERROR, 502, "The key-value service answered an error."),
        (Code.KV_REFUSED, 503, "The key-value service did nothing."),
        (Code.KV_HISTORY_GONE, 410, "Changes that far back are forgotten."),
        (Code.KV_LEASE_GONE, 404, "The lease has ended."),
        (Code.KV_NONSENSE, 502, "The key-value service's answer is malformed."),
        (Code.KV_UNREACHABLE, 503, "The key-value service was not connected."),
        (Code.KV_ANSWER_TOO_LONG, 502, "An answer of the service is too long."),
        (Code.BLOCK_MISSING, 404, "The store has no sealed block of the id."),
        (Code.BLOCK_DAMAGED, 502, "The block's digest or length is wrong."),
        (Code.STORE_FULL, 507, "The store has no room for the block."),
        (Code.STORE_UNAVAILABLE, 503, "The store did not answer."),
        (Code.FENCED, 409, "The order's fence number is not the highest."),
    ),
}


class Failure(msgspec.Struct, frozen=True):
    """A sentinel returned in place of a value, with its reason.

    Attributes:
      code: the numbered result.
      reason: one sentence for a person.
      field: the input field, file or peer at fault, "" if none.
      value: the offending value, cut short, "" if none.
      executed: whether the endpoint ran the request.
      retry_after_s: when to come back, 0 if there is no point in it.
    """

    code: Code
    reason: str
    field: str = ""
    value: str = ""
    executed: Executed = Executed.NO
    retry_after_s: float = 0.0


_VALUE_SHOWN = 80


def failed(
    code: Code,
    reason: str = "",
    field: str = "",
    value: object = "",
    retry_after_s: float = 0.0,
    executed: Executed | None = None,
) -> Failure:
    """Returns a failure whose defaults come from the code's table row."""
    spec = CODES[code]
    return Failure(
        code=code,
        reason=reason or spec.meaning,
        field=field,
        value=str(value)[:_VALUE_SHOWN],
        executed=executed or spec.executed,
        retry_after_s=retry_after_s,
    )
