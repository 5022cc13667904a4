"""The entry's HTTP API."""

import time

import msgspec
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from magnolialug.config.deployment import Kind, hash_key
from magnolialug.entry.app import EntryApp
from magnolialug.entry.bodies import (
    ChatBody,
    CompletionBody,
    read_chat,
    read_completion,
    read_json,
    sampling_options,
)
from magnolialug.entry.call import PromptCall
from magnolialug.entry.intake import IntakeRequest
from magnolialug.entry.responseformats import (
    CHAT,
    COMPLETION,
    PLAIN,
    ResponseFormat,
)
from magnolialug.entry.sink import CallerSink, write_failure, write_json
from magnolialug.events import Event, emit, explain
from magnolialug.ids import KindName, RequestId, ServiceName, TeamId
from magnolialug.policy.blocks import prompt_root
from magnolialug.result import Code, Failure, failed

__all__ = ["EntryResource"]

_BEARER = "Bearer "
_API_PREFIX = b"/v1/"
_MAX_EVENT_ID_DIGITS = 12
_MAX_IDEMPOTENCY_KEY_CHARS = 256
_FORMATS = {"chat": CHAT, "completion": COMPLETION, "plain": PLAIN}


class EntryResource(Resource):
    """Parses HTTP requests into calls and passes them to the application."""

    isLeaf = True

    def __init__(self, app: EntryApp):
        super().__init__()
        self._app = app
        self._teams: dict[str, TeamId] = {}
        self._teams_deployment = None

    def check_head(self, req: IntakeRequest) -> Failure | None:
        """Returns why a request is refused before its body is read, if it is.

        No request without a body comes here.
        """
        if not req.uri.startswith(_API_PREFIX):
            return failed(Code.UNKNOWN_PATH, field="path", value=req.uri)
        team = self._team(req)
        return team if isinstance(team, Failure) else None

    def record_refusal(
        self, req: IntakeRequest | None, failure: Failure
    ) -> None:
        """Counts and logs a request that its connection refuses."""
        self._app.metrics.refusals.add(1, {"code": failure.code.value})
        emit(
            Event.REQUEST_FAILED,
            path=req.uri.decode("latin-1")[:80] if req else "",
            field=failure.field,
            **explain(failure),
        )

    def record_gave_way(self, reason: str) -> None:
        """Counts a caller that has given way to others."""
        self._app.metrics.callers_gave_way.add(1, {"reason": reason})

    def render(self, req: Request):
        """Answers one request."""
        refusal = self._route(req)
        if isinstance(refusal, Failure):
            write_failure(req, refusal)
        return NOT_DONE_YET

    def _route(self, req: Request) -> Failure | None:
        segments = [p.decode("utf-8", "replace") for p in req.postpath if p]
        if segments == ["healthz"]:
            return self._health(req)
        if segments == ["metrics"]:
            return write_json(req, self._app.metrics.as_json())
        if not segments or segments[0] != "v1":
            return failed(Code.UNKNOWN_PATH, field="path", value=req.path)
        team = self._team(req)
        if isinstance(team, Failure):
            return team
        return self._dispatch(req, team, req.method.decode("latin-1"), segments)

    def _dispatch(
        self, req: Request, team: TeamId, method: str, segments: list[str]
    ) -> Failure | None:
        match (method, *segments[1:]):
            case ("POST", "completions"):
                return self._serve_model(req, team, read_completion, COMPLETION)
            case ("POST", "chat", "completions"):
                return self._serve_model(req, team, read_chat, CHAT)
            case ("POST", "services", service, kind):
                return self._serve_plain(req, team, service, kind)
            case ("GET", "requests", request_id):
                return self._replay(req, team, RequestId(request_id))
            case ("GET", "models"):
                return write_json(req, self._models())
        return failed(Code.UNKNOWN_PATH, field="path", value=req.path)

    def _health(self, req: Request) -> None:
        ready = self._app.ready()
        req.setResponseCode(200 if ready else 503)
        write_json(
            req,
            msgspec.json.encode(
                {
                    "ready": ready,
                    "config_version": self._app.current.version,
                    "in_progress": self._app.in_progress,
                }
            ),
        )

    def _models(self) -> bytes:
        names = self._app.current.deployment.models
        rows = [{"id": name, "object": "model"} for name in names]
        return msgspec.json.encode({"object": "list", "data": rows})

    def _team(self, req: Request) -> TeamId | Failure:
        """Returns the team that owns the bearer key.

        Keys are looked up by their hash, so that the response time does not
        show how much of a guessed key is right.
        """
        values = req.requestHeaders.getRawHeaders("Authorization") or []
        if len(values) > 1:
            return failed(Code.AMBIGUOUS_HEADER, field="Authorization")
        if not values or not values[0].startswith(_BEARER):
            return failed(Code.UNAUTHENTICATED, field="Authorization")
        deployment = self._app.current.deployment
        if deployment is None:
            return failed(Code.CONFIG_MISSING)
        if self._teams_deployment is not deployment:
            self._teams_deployment = deployment
            self._teams = deployment.teams_by_key()
        key = values[0][len(_BEARER) :].strip()
        team = self._teams.get(hash_key(key))
        return team or failed(Code.UNKNOWN_TEAM, field="Authorization")

    def _serve_model(
        self, req: Request, team: TeamId, read, response_format: ResponseFormat
    ) -> Failure | None:
        data = req.content.read()
        body = read(data)
        if isinstance(body, Failure):
            return body
        deployment = self._app.current.deployment
        service = deployment.service_of_model(body.model)
        if service is None:
            return failed(Code.UNKNOWN_MODEL, field="model", value=body.model)
        kind_name = (body.metadata or {}).get("kind") or _default_kind(
            deployment.services[service].kinds
        )
        call = self._call(req, team, service, kind_name, body.prompt)
        if isinstance(call, Failure):
            return call
        call = msgspec.structs.replace(
            call,
            model=body.model,
            weights=deployment.models[body.model].weights,
            max_tokens=_max_tokens(body, call.kind),
            root=prompt_root(team, body.prompt, body.prompt_cache_key or ""),
            params=sampling_options(data),
        )
        options = body.stream_options
        sink = CallerSink(
            req,
            response_format,
            body.model,
            int(time.time()),
            bool(body.stream),
            bool(options and options.include_usage),
            ends_by_close=_ends_by_close(req),
        )
        self._start(req, call, sink)
        return None

    def _serve_plain(
        self, req: Request, team: TeamId, service: str, kind: str
    ) -> Failure | None:
        body = read_json(req.content.read())
        if isinstance(body, Failure):
            return body
        call = self._call(req, team, service, kind, body)
        if isinstance(call, Failure):
            return call
        if self._app.current.deployment.services[service].type != "plain":
            return failed(
                Code.UNKNOWN_SERVICE, "not a plain service", "service", service
            )
        sink = CallerSink(req, PLAIN, "", int(time.time()), False, False)
        self._start(req, call, sink)
        return None

    def _call(
        self, req: Request, team: TeamId, service: str, kind: str, body: str
    ) -> PromptCall | Failure:
        found = self._app.current.deployment.services.get(service)
        if found is None:
            return failed(Code.UNKNOWN_SERVICE, field="service", value=service)
        if kind not in found.kinds:
            return failed(Code.UNKNOWN_KIND, field="kind", value=kind)
        key = _idempotency_key(req, found.kinds[kind])
        if isinstance(key, Failure):
            return key
        now = self._app.clock.seconds()
        return PromptCall(
            team=team,
            service=ServiceName(service),
            kind_name=KindName(kind),
            kind=found.kinds[kind],
            model="",
            weights="",
            body=body,
            max_tokens=1,
            root=prompt_root(team, body),
            key=key,
            deadline=now + found.kinds[kind].max_wait_s,
            arrived=now,
        )

    def _start(
        self, req: IntakeRequest, call: PromptCall, sink: CallerSink
    ) -> None:
        fut = ensureDeferred(self._app.serve(call, sink))
        req.hold_until(fut)
        if call.kind.idempotent:
            sink.on_gone = fut.cancel
        fut.addCallback(sink.end)
        fut.addErrback(_fail_response, sink)

    def _replay(
        self, req: Request, team: TeamId, request_id: RequestId
    ) -> Failure | None:
        after = _last_event_id(req)
        if isinstance(after, Failure):
            return after
        name = req.args.get(b"as", [b"completion"])[0].decode("latin-1")
        if name not in _FORMATS:
            return failed(Code.UNKNOWN_FIELD_VALUE, field="as", value=name)
        sink = CallerSink(
            req,
            _FORMATS[name],
            "",
            int(time.time()),
            name != "plain",
            True,
            ends_by_close=_ends_by_close(req),
        )
        sink.set_request_id(request_id)
        fut = ensureDeferred(self._app.replay(team, request_id, after, sink))
        sink.on_gone = fut.cancel
        fut.addCallback(sink.end)
        fut.addErrback(_fail_response, sink)
        return None


def _fail_response(reason, sink: CallerSink) -> None:
    """Ends a response whose task was cancelled or raised an error."""
    if reason.check(CancelledError):
        return
    sink.end(failed(Code.OUTCOME_UNKNOWN, reason.type.__name__))
    reason.raiseException()


def _ends_by_close(req: Request) -> bool:
    """Whether only the close of the connection ends a body without length.

    Callers of HTTP/1.0 read no chunks.
    """
    return req.clientproto == b"HTTP/1.0"


def _default_kind(kinds: dict[str, Kind]) -> str:
    return next(name for name, kind in kinds.items() if kind.default)


def _max_tokens(body: ChatBody | CompletionBody, kind: Kind) -> int:
    asked = body.max_completion_tokens or body.max_tokens
    return min(asked or kind.max_tokens, kind.max_tokens)


def _idempotency_key(req: Request, kind: Kind) -> str | Failure:
    name = "Idempotency-Key"
    values = req.requestHeaders.getRawHeaders(name) or []
    if len(values) > 1:
        return failed(Code.AMBIGUOUS_HEADER, field=name)
    key = values[0].strip() if values else ""
    if not key and not kind.idempotent:
        return failed(Code.MISSING_IDEMPOTENCY_KEY, field=name)
    if len(key) > _MAX_IDEMPOTENCY_KEY_CHARS:
        return failed(Code.UNKNOWN_FIELD_VALUE, "too long", name, key)
    return key


def _last_event_id(req: Request) -> int | Failure:
    name = "Last-Event-ID"
    text = (req.requestHeaders.getRawHeaders(name) or ["0"])[0]
    if not text.isdecimal() or len(text) > _MAX_EVENT_ID_DIGITS:
        return failed(Code.WRONG_TYPE, "not a decimal number", name, text)
    return int(text)
