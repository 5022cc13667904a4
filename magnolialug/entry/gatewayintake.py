"""Parses a caller's request into a call, or returns why it is refused."""

import msgspec

from magnolialug.config.routing import Route, RouteTeam
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaychannel import GatewayRequest
from magnolialug.ids import KindName, TeamId
from magnolialug.platform.requests import Marks, read_marks
from magnolialug.policy.rank import rank
from magnolialug.policy.requestdigest import request_digest
from magnolialug.policy.routes import RouteTable, service_for
from magnolialug.result import Code, Failure, failed

__all__ = ["RequestHead", "read_call", "read_head"]

_ANONYMOUS = RouteTeam(TeamId(""), ())


class RequestHead(msgspec.Struct, frozen=True):
    """What the head of a request tells, under one version of the routes."""

    table: RouteTable
    route: Route
    marks: Marks
    team: RouteTeam


def read_call(
    req: GatewayRequest, table: RouteTable, now: float
) -> ForwardCall | Failure:
    """Returns the call with its route, team and deadline, or a failure."""
    head = req.admitted
    if head is None or head.table is not table:
        head = read_head(req, table)
    if isinstance(head, Failure):
        return head
    return _call(req, head, now)


def read_head(req: GatewayRequest, table: RouteTable) -> RequestHead | Failure:
    """Returns what a request's head tells, or why it is refused."""
    headers = [
        (name.lower(), value)
        for name, values in req.requestHeaders.getAllRawHeaders()
        for value in values
    ]
    route = _route(req, table)
    if isinstance(route, Failure):
        return route
    marks = read_marks(headers)
    if isinstance(marks, Failure):
        return marks
    team = _team(table, route, marks)
    if isinstance(team, Failure):
        return team
    return RequestHead(table, route, marks, team)


def _route(req: GatewayRequest, table: RouteTable) -> Route | Failure:
    hosts = req.requestHeaders.getRawHeaders(b"host") or []
    if len(hosts) != 1:
        return failed(Code.AMBIGUOUS_HEADER, "exactly one is required", "host")
    path = req.uri.partition(b"?")[0]
    if not path.startswith(b"/"):
        return failed(Code.UNKNOWN_PATH, "must start with /", "path", req.uri)
    host = hosts[0].decode("latin-1").partition(":")[0].lower()
    route = table.match(host, path.decode("latin-1"))
    return route or failed(
        Code.UNKNOWN_PATH, "no route matches", "path", req.uri
    )


def _team(table: RouteTable, route: Route, marks: Marks) -> RouteTeam | Failure:
    if not table.requires_key:
        return _ANONYMOUS
    team = table.team(marks.key) if marks.key else None
    if team is not None:
        return team
    if route.public:
        return _ANONYMOUS
    code = Code.UNKNOWN_TEAM if marks.key else Code.UNAUTHENTICATED
    return failed(code, field="authorization")


def _call(req: GatewayRequest, head: RequestHead, now: float) -> ForwardCall:
    route, marks, team = head.route, head.marks, head.team
    wait_s = route.timeout_s
    if marks.wait_s is not None:
        wait_s = min(wait_s, marks.wait_s)
    body = req.body()
    # A stream that is taken up stays at the service that began it.
    takes_up = route.resumable and marks.resume_after > 0
    drawn_by = marks.resumes if takes_up else ""
    return ForwardCall(
        team=team.name,
        service=service_for(route, drawn_by or marks.request_id),
        kind_name=KindName(route.name),
        kind=route.kind,
        root=marks.prompt.root if marks.prompt else "",
        deadline=now + wait_s,
        arrived=now,
        name=marks.request_id,
        attempts=route.attempts,
        route=route,
        method=req.method,
        target=req.uri,
        headers=marks.passed,
        body=body,
        digest=request_digest(team.name, req.uri, *body.blocks()),
        prompt=marks.prompt,
        priority=rank(team.priority, route.priority),
        isolated=team.isolated,
        resume_after=marks.resume_after,
        resumes=marks.resumes,
    )
