"""Typed identifiers."""

from typing import NewType

NodeId = NewType("NodeId", str)
Incarnation = NewType("Incarnation", str)
Zone = NewType("Zone", str)
EndpointId = NewType("EndpointId", str)
ModelId = NewType("ModelId", str)
AdapterId = NewType("AdapterId", str)
ItemId = NewType("ItemId", str)
"""A model or adapter that engines load: ``model``, or ``model:adapter``."""
ServiceId = NewType("ServiceId", str)
RouteId = NewType("RouteId", str)
AccountId = NewType("AccountId", str)
"""A client account, to which requests belong by their key."""
LimitedId = NewType("LimitedId", str)
"""What a shared limit applies to: an account, or a start of an endpoint."""
KeyDigest = NewType("KeyDigest", bytes)
"""Digest of a client's key; the key itself is never kept."""
CallerId = NewType("CallerId", str)
GroupId = NewType("GroupId", str)
RequestId = NewType("RequestId", str)
EventId = NewType("EventId", str)
"""Id of an event in a stream, as the endpoint sent it."""
Urgency = NewType("Urgency", int)
"""Order in which an engine admits requests, 0 first."""
PromptPartId = NewType("PromptPartId", str)
Fingerprint = NewType("Fingerprint", str)
"""Digest of the work in a request, the same for all callers."""
TicketId = NewType("TicketId", str)
"""A request that waits for an engine; unique over all nodes and attempts."""
JobId = NewType("JobId", str)
OrderId = NewType("OrderId", str)
VmId = NewType("VmId", str)
"""A VM in the platform's list: a node's id, or ``host:port`` of an endpoint."""
WriteId = NewType("WriteId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ObjectKey = NewType("ObjectKey", str)
Version = NewType("Version", int)
Revision = NewType("Revision", int)
Generation = NewType("Generation", int)
FencingNumber = NewType("FencingNumber", int)
StoreEra = NewType("StoreEra", int)
"""Number of restores of the store from an older copy."""

ABSENT = Version(0)
