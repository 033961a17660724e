"""What an operator can do about refusals, by their reason."""

from camphoryard.state.enums import Reason


def advice_for_refusal(reason: Reason) -> str:
    """Return what to do about requests refused for ``reason``."""
    match reason:
        case Reason.NO_GROUP | Reason.NO_ENDPOINT:
            return (
                "camphoryard explain --caller C --target M names the selector"
                " that does not hold"
            )
        case Reason.OVERLOADED | Reason.DEADLINE:
            return "add replicas, or lower the class of what can wait"
        case Reason.TOO_MANY_JOBS:
            return "see why open jobs are not done, or raise jobs.max_open"
        case Reason.STALE_CONFIGURATION | Reason.DRAINING:
            return "the caller asks again elsewhere; does the balancer heed /readyz?"
        case Reason.STORE_UNAVAILABLE:
            return "look after the object API; what needs no write is served on"
        case Reason.UNAUTHENTICATED:
            return "set the caller's token in [access] of each node's settings"
        case Reason.UNKNOWN_MODEL | Reason.UNKNOWN_SERVICE:
            return "camphoryard get --output text lists what is configured"
        case Reason.ENDPOINT_FAILED | Reason.QUARANTINED:
            return "camphoryard timeline --request ID shows what was tried"
        case Reason.OUTCOME_UNKNOWN | Reason.ANSWER_NOT_KEPT:
            return "ask the service itself what became of the action"
        case Reason.ANSWER_TOO_LARGE:
            return "stream it, ask for less, or raise serving.max_answer_bytes"
        case Reason.CANCELLED:
            return "nothing: the caller went away before its answer came"
        case Reason.INTERNAL:
            return "see the log of that node and report the fault"
        case _:
            return "the caller mends its request as the message says"
