"""Identifier types, so that one id cannot be passed where another belongs."""

import secrets
from typing import NewType

__all__ = [
    "AttemptId",
    "BlockId",
    "EngineBuild",
    "EndpointId",
    "EntryId",
    "Incarnation",
    "KindName",
    "RequestDigest",
    "RequestId",
    "ServiceName",
    "SoftwareVersion",
    "StoreId",
    "TeamId",
    "WeightVersion",
    "ZoneId",
    "endpoint_of",
    "new_incarnation",
    "new_request_id",
]

AttemptId = NewType("AttemptId", str)
BlockId = NewType("BlockId", str)
EngineBuild = NewType("EngineBuild", str)
EndpointId = NewType("EndpointId", str)
EntryId = NewType("EntryId", str)
Incarnation = NewType("Incarnation", str)
KindName = NewType("KindName", str)
RequestDigest = NewType("RequestDigest", str)
RequestId = NewType("RequestId", str)
ServiceName = NewType("ServiceName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
StoreId = NewType("StoreId", str)
TeamId = NewType("TeamId", str)
WeightVersion = NewType("WeightVersion", str)
ZoneId = NewType("ZoneId", str)

_RANDOM_BYTES = 16


def new_request_id(
    endpoint: EndpointId, random_hex: str | None = None
) -> RequestId:
    """Returns an unguessable request id that names where its answer is kept.

    Args:
      endpoint: the endpoint whose sidecar keeps the answer.
      random_hex: 32 hex digits; drawn from the system when not given.
    """
    return RequestId(
        f"{endpoint}.{random_hex or secrets.token_hex(_RANDOM_BYTES)}"
    )


def endpoint_of(request_id: RequestId) -> EndpointId:
    """Returns the endpoint named by a request id, "" if it names none."""
    return EndpointId(request_id.rpartition(".")[0])


def new_incarnation() -> Incarnation:
    """Returns an id that no earlier start of any process has used."""
    return Incarnation(secrets.token_hex(8))
