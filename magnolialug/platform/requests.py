"""Request and response headers of the platform, decoded and written once."""

import msgspec

from magnolialug.carrier.reader import Head
from magnolialug.entry.dispatch import Dispatch
from magnolialug.entry.forwardcall import ForwardCall, HeaderList
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.result import Code, Failure, failed

__all__ = [
    "Answer",
    "Marks",
    "answers",
    "endpoint_request",
    "read_answer",
    "read_marks",
]

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-request-deadline-ms"
_MODEL = b"x-model-name"
_TOKENS = b"x-token-counts"
_PREFIX = b"x-prompt-prefix"
_HINT = b"x-length-hint"
_AUTHORIZATION = b"authorization"
_LAST_EVENT = b"last-event-id"
_RESUMES = b"resumes"
_STAMP = b"x-response-stamp"
_NOT_RUN = b"x-not-executed"
_INSTANCE = b"x-instance-id"
_WEIGHTS = b"x-weight-versions"
_SCHEME = b"token "
_MISDIRECTED = 421
_FIRST_ERROR = 400

# What the system alone says to an endpoint: a caller that could say it would
# read another team's cache or take another's reserved place.
_OURS = frozenset(
    (
        _DEADLINE,
        _AUTHORIZATION,
        b"x-tenant-id",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-cache-salt",
        b"x-request-priority",
        b"x-kv-fetch-from",
        b"x-kv-save-to",
        b"x-kv-until",
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-pin-ms",
        b"kv-from",
    )
)
# What concerns one connection only, and what this process writes anew.
_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
    )
)
_HINT_DIGITS = 9
_MAX_DIGITS = 12
_ONCE = (
    _REQUEST_ID,
    _DEADLINE,
    _MODEL,
    _TOKENS,
    _PREFIX,
    _LAST_EVENT,
    _RESUMES,
)


class Marks(msgspec.Struct):
    """What a caller's headers say.

    Attributes:
      passed: the headers that go on to the endpoint.
      wait_s: how long the caller waits, None if it does not say.
      resume_after: the last event that the caller already has.
      resumes: the id of the request that brought the first event of the
        stream that is taken up, "" for none.
    """

    request_id: str
    passed: HeaderList
    wait_s: float | None = None
    key: str = ""
    prompt: Prompt | None = None
    resume_after: int = 0
    resumes: str = ""


class Answer(msgspec.Struct):
    """What an endpoint's response head says.

    Attributes:
      not_run: the endpoint says that it did not run the request.
      misdirected: another endpoint has the address now.
      stamped: it bears the mark of a run.
      weights: the version that it was made with, 0 if it does not say.
      passed: the headers that go on to the caller.
    """

    status: int
    reason: bytes
    not_run: bool
    misdirected: bool
    stamped: bool
    weights: int
    instance: str
    passed: HeaderList


def _bad(name: bytes, value: bytes, reason: str) -> Failure:
    return failed(
        Code.UNKNOWN_FIELD_VALUE,
        reason,
        name.decode("latin-1"),
        value.decode("latin-1")[:80],
    )


def _whole_number(name: bytes, value: bytes) -> int | Failure:
    text = value.strip()
    if not _is_number(text):
        return _bad(name, value, "must be a whole number")
    return int(text)


def _is_number(text: bytes) -> bool:
    """Whether a text is a whole number that all arithmetic can hold."""
    return text.isdigit() and len(text) <= _MAX_DIGITS


def _dropped(headers: HeaderList) -> frozenset[bytes]:
    """Returns the names that the sender's Connection header lists."""
    named = [value for name, value in headers if name == b"connection"]
    if not named:
        return _HOP
    words = b",".join(named).lower().split(b",")
    return _HOP | frozenset(word.strip() for word in words)


def _prompt(found: dict[bytes, bytes]) -> Prompt | Failure | None:
    if _MODEL not in found or _TOKENS not in found:
        return None
    counts = found[_TOKENS].split(b",")
    if len(counts) != 2 or not all(_is_number(c.strip()) for c in counts):
        return _bad(_TOKENS, found[_TOKENS], "must be two whole numbers")
    parts = []
    for row in found.get(_PREFIX, b"").split(b","):
        name, _, tokens = row.strip().rpartition(b":")
        if not row.strip():
            continue
        if not name or not _is_number(tokens):
            return _bad(_PREFIX, found[_PREFIX], "must be ID:TOKENS entries")
        parts.append(Part(name.decode("latin-1"), int(tokens)))
    return Prompt(
        found[_MODEL].decode("latin-1"),
        tuple(parts),
        int(counts[0]),
        int(counts[1]),
        _hinted(found),
    )


def _hinted(found: dict[bytes, bytes]) -> int:
    """Returns the caller's estimate of the answer's length.

    It is only a help: one that cannot be read is none, and no reason to
    refuse the request.
    """
    text = found.get(_HINT, b"").strip()
    return int(text) if text.isdigit() and len(text) <= _HINT_DIGITS else 0


def _resume_after(found: dict[bytes, bytes]) -> int | Failure:
    """Returns the last event that a caller has, 0 for what is no number."""
    text = found.get(_LAST_EVENT, b"")
    return _whole_number(_LAST_EVENT, text) if text.isdigit() else 0


def read_marks(headers: HeaderList) -> Marks | Failure:
    """Returns what a caller's headers say.

    Args:
      headers: names in lower case.
    """
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in found and name in _ONCE:
            return failed(Code.AMBIGUOUS_HEADER, "given twice", name.decode())
        found[name] = value
    if not found.get(_REQUEST_ID):
        return failed(Code.MISSING_FIELD, "required", _REQUEST_ID.decode())
    dropped = _dropped(headers)
    marks = Marks(
        found[_REQUEST_ID].decode("latin-1"),
        [
            (name, value)
            for name, value in headers
            if name not in _OURS and name not in dropped
        ],
    )
    if _DEADLINE in found:
        wait_ms = _whole_number(_DEADLINE, found[_DEADLINE])
        if isinstance(wait_ms, Failure):
            return wait_ms
        marks.wait_s = wait_ms / 1000
    marks.resumes = found.get(_RESUMES, b"").decode("latin-1")
    key = found.get(_AUTHORIZATION, b"")
    if key[: len(_SCHEME)].lower() == _SCHEME:
        marks.key = key[len(_SCHEME) :].strip().decode("latin-1")
    resume_after, prompt = _resume_after(found), _prompt(found)
    for read in (resume_after, prompt):
        if isinstance(read, Failure):
            return read
    marks.resume_after, marks.prompt = resume_after, prompt
    return marks


def endpoint_request(call: ForwardCall, to: Dispatch, left_s: float) -> bytes:
    """Returns the head of a request to an endpoint; its body comes behind it.

    Args:
      left_s: how long the answer is still of use.
    """
    lines = [b"%s %s HTTP/1.1" % (call.method, call.target)]
    resuming = to.resume_after > 0
    lines += [
        name + b": " + value
        for name, value in call.headers
        if not (resuming and name == _LAST_EVENT)
    ]
    if resuming:
        lines.append(b"Last-Event-Id: %d" % to.resume_after)
    lines.append(b"X-Request-Deadline-Ms: %d" % max(1, left_s * 1000))
    lines.append(b"X-Expect-Instance: " + to.endpoint.encode("latin-1"))
    if call.team:
        lines.append(b"X-Tenant-Id: " + _header_text(call.team))
    if call.prompt is not None:
        lines += _prompt_lines(call, to)
    if call.body.size or call.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % call.body.size)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _prompt_lines(call: ForwardCall, to: Dispatch) -> list[bytes]:
    lines = [
        b"X-Request-Priority: %d" % to.priority,
        b"X-Cache-Salt: " + _header_text(to.cache_namespace),
    ]
    if to.weights:
        lines.append(b"X-Expect-Version: %d" % to.weights)
    if any(to.fetch):
        lines.append(b"X-Kv-Fetch-From: " + _addresses(to.fetch))
        lines.append(b"X-Kv-Until: %d" % to.fetch_until_ms)
    if any(to.save):
        lines.append(b"X-Kv-Save-To: " + _addresses(to.save))
    return lines


def _header_text(text: str) -> bytes:
    """Returns a text as Latin-1, which HTTP uses, or else as UTF-8."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode()


def _addresses(rows: tuple[str, ...]) -> bytes:
    return ",".join(row or "-" for row in rows).encode("latin-1")


def read_answer(head: Head) -> Answer:
    """Returns what an endpoint's response head says."""
    dropped = _dropped(head.headers)
    weights = head.get(_WEIGHTS) or b""
    not_run = head.get(_NOT_RUN) is not None
    return Answer(
        status=head.status,
        reason=head.reason,
        not_run=not_run or head.status == _MISDIRECTED,
        misdirected=head.status == _MISDIRECTED,
        stamped=head.get(_STAMP) is not None,
        weights=int(weights) if _is_number(weights) else 0,
        instance=(head.get(_INSTANCE) or b"").decode("latin-1"),
        passed=[
            (name, value)
            for name, value in head.headers
            if name not in dropped or name == b"content-length"
        ],
    )


def answers(request_id: str, head: Head, is_first: bool) -> bool:
    """Whether a response head belongs to a request.

    An endpoint's extra response can arrive where the next one is expected;
    taken for the answer it would give one caller another's, or refuse a request
    that runs. The id tells. Without one, only a refusal on a connection that
    has carried no request before cannot be extra.

    Args:
      is_first: whether the request is the first on its connection.
    """
    found = head.get(_REQUEST_ID)
    if found is None:
        return is_first and head.status >= _FIRST_ERROR
    return found == request_id.encode("latin-1")
