"""Enums of states, kinds and reasons."""

from enum import Enum


class Priority(Enum):
    """Priority class of a request, from most to least urgent."""

    URGENT = "urgent"
    STANDARD = "standard"
    DEFERRABLE = "deferrable"

    @property
    def rank(self) -> int:
        """Rank of the class; the lowest is served first."""
        return _RANK_BY_PRIORITY[self]


_RANK_BY_PRIORITY = {
    Priority.URGENT: 0,
    Priority.STANDARD: 1,
    Priority.DEFERRABLE: 2,
}


class EndpointKind(Enum):
    """Kind of back end at an endpoint's address."""

    ENGINE = "engine"
    SERVICE = "service"


class OrderKind(Enum):
    """Kind of an order to a model engine."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    REFUSED = "refused"


class ClaimState(Enum):
    """State of a claim on an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ChangeKind(Enum):
    """Effect of a change on an item."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


class JobState(Enum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class NodeState(Enum):
    """State that a node reports about itself.

    A draining node still admits requests from the balancer but is not ready; a
    stopping one admits none and finishes its in-flight requests. An isolated node
    serves but hears from too few other nodes to own endpoints; this state appears
    in leases only.
    """

    STARTING = "starting"
    SERVING = "serving"
    ISOLATED = "isolated"
    DRAINING = "draining"
    STOPPING = "stopping"


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Reason(Enum):
    """Why a request was refused; a stable error code that callers see."""

    BAD_JSON = "bad_json"
    BAD_HEADER = "bad_header"
    BAD_FIELD = "bad_field"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    TOO_SLOW = "too_slow"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    NO_GROUP = "no_group"
    NO_ENDPOINT = "no_endpoint"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    ANSWER_TOO_LARGE = "answer_too_large"
    OVERLOADED = "overloaded"
    OVER_QUOTA = "over_quota"
    TOO_MANY_JOBS = "too_many_jobs"
    DEADLINE = "deadline"
    DRAINING = "draining"
    STALE_CONFIGURATION = "stale_configuration"
    STORE_UNAVAILABLE = "store_unavailable"
    ENDPOINT_FAILED = "endpoint_failed"
    QUARANTINED = "quarantined"
    CONFLICT = "conflict"
    UNHEARD_NODES = "unheard_nodes"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class RiskKind(Enum):
    """Kind of a risk that an operator should know about."""

    STALE_CONFIGURATION = "stale_configuration"
    STORE_SILENT = "store_silent"
    NODE_SILENT = "node_silent"
    NODE_BEHIND = "node_behind"
    NO_OWNER = "no_owner"
    ENDPOINT_UNCONFIRMED = "endpoint_unconfirmed"
    REFUSALS = "refusals"


class SelectorKind(Enum):
    """One of a serving group's selectors."""

    CALLERS = "callers"
    TARGETS = "targets"
    ENDPOINTS = "endpoints"
