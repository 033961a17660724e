"""Advice to operators about refusals, by reason."""

from camphoryard.state.enums import Reason


def advice_for_refusal(reason: Reason) -> str:
    """Return what an operator can do about requests refused for ``reason``."""
    match reason:
        case Reason.NO_GROUP | Reason.NO_ENDPOINT:
            return (
                "camphoryard explain --caller C --target M names the selector"
                " that does not match"
            )
        case Reason.OVERLOADED | Reason.DEADLINE:
            return "add replicas, or lower the class of what can wait"
        case Reason.TOO_MANY_JOBS:
            return "check why open jobs do not finish, or raise jobs.max_open"
        case Reason.STALE_CONFIGURATION | Reason.DRAINING:
            return "the caller retries elsewhere; check that the balancer uses /readyz"
        case Reason.STORE_UNAVAILABLE:
            return (
                "restore the object API; requests that need no write are still served"
            )
        case Reason.UNAUTHENTICATED:
            return "set the caller's token in [access] of each node's settings"
        case Reason.UNKNOWN_MODEL | Reason.UNKNOWN_SERVICE:
            return "camphoryard get --output text lists what is configured"
        case Reason.ENDPOINT_FAILED | Reason.QUARANTINED:
            return "camphoryard timeline --request ID shows what was tried"
        case Reason.OUTCOME_UNKNOWN | Reason.ANSWER_NOT_KEPT:
            return "ask the service itself whether the action ran"
        case Reason.ANSWER_TOO_LARGE:
            return "stream it, request fewer tokens, or raise serving.max_answer_bytes"
        case Reason.CANCELLED:
            return "nothing: the caller disconnected before its answer was complete"
        case Reason.INTERNAL:
            return "check the log of that node and report the fault"
        case _:
            return "the caller corrects its request as the message says"
