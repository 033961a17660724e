"""Changes of endpoints that one node passes on to another."""

from dataclasses import dataclass

from camphoryard.state.ids import EndpointId, Incarnation, Revision
from camphoryard.state.serving_endpoints import ServingEndpoint


@dataclass(frozen=True, slots=True)
class RelayedEndpoint:
    """An endpoint that changed, as it is now; ``endpoint`` is None if it is gone.

    The models on hand are left out: only the node that orders loads uses them, and it
    reads the store itself.
    """

    id: EndpointId
    endpoint: ServingEndpoint | None


@dataclass(frozen=True, slots=True)
class EndpointRelay:
    """The changes of endpoints between two revisions of the store, for one node.

    They bring a view of any revision from ``since`` to ``until`` to ``until``, which
    contains all that the store had confirmed before the node sent its digest
    ``heard_beat``. ``incarnation`` is that of the node; ``heard_beat`` is 0 if there is
    no such digest yet.
    """

    since: Revision
    until: Revision
    changes: tuple[RelayedEndpoint, ...]
    incarnation: Incarnation
    heard_beat: int
