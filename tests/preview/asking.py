"""Asks gateways of a cluster for previews."""

from twisted.internet.defer import ensureDeferred

__all__ = ["PROMPT", "as_params", "begin", "preview"]

PROMPT = {
    "route": "draft",
    "team": "team-a",
    "model": "m",
    "input": 2000,
    "output": 100,
    "parts": "aa:1000,bb:500,o1:500",
}


def as_params(request):
    """Returns a request as the parameters of a query."""
    return {k.encode(): [str(v).encode()] for k, v in request.items()}


def begin(gateway, **request):
    """Begins a preview; returns its Deferred and a list for its result."""
    found = []
    asked = ensureDeferred(gateway.previewer.explain(as_params(request)))
    asked.addCallback(found.append)
    return asked, found


def preview(cluster, gateway=None, seconds=0.1, **request):
    """Returns what a gateway answers, the first one if none is given."""
    _, found = begin(gateway or cluster.gateway, **request)
    cluster.net.advance_by(seconds, 0.001)
    return found[0]
