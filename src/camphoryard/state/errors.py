"""Exceptions that the package raises."""

from camphoryard.state.enums import Reason
from camphoryard.state.verdict import Verdict


class CamphoryardError(Exception):
    """Base class of the exceptions that the package raises."""


class RefusalError(CamphoryardError):
    """Raised if a request gets no answer, or not the whole one.

    Parameters
    ----------
    reason : Reason
        Stable error code that the caller sees.
    detail : str
        One sentence that explains the refusal.
    verdict : Verdict
        Whether the request may have run.
    field : str
        Name of the invalid header or body field, or an empty string.
    retry_after_s : float
        Seconds after which the caller may retry, or 0 if unknown.

    Examples
    --------
    >>> RefusalError(Reason.DEADLINE, "deadline passed").verdict
    <Verdict.NOT_RUN: 'not run'>
    """

    def __init__(
        self,
        reason: Reason,
        detail: str,
        verdict: Verdict = Verdict.NOT_RUN,
        field: str = "",
        retry_after_s: float = 0.0,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.verdict = verdict
        self.field = field
        self.retry_after_s = retry_after_s
        self.counted = False


class StoreUnavailableError(CamphoryardError):
    """The object API gave no valid answer; a write may have taken effect."""


class VmListUnavailableError(CamphoryardError):
    """The platform's VM list gave no valid answer."""


class ConflictError(CamphoryardError):
    """A conditional update failed: the object has another version."""


class ObjectTooLargeError(CamphoryardError):
    """A value is larger than the object API accepts; nothing was written."""


class NotSentError(CamphoryardError):
    """No byte of the call reached the server."""


class NotWantedError(NotSentError):
    """The endpoint has said that it wants no call now."""


class BrokenCallError(CamphoryardError):
    """The call failed after the server may have acted on part of it."""


class NoInventoryError(BrokenCallError):
    """An engine answered, but not with what it has loaded."""


class StalledCallError(BrokenCallError):
    """The server sent nothing before the timeout."""


class EndpointRefusedError(CamphoryardError):
    """The endpoint declined to run the request.

    Parameters
    ----------
    status : int
        HTTP status code of the answer.
    detail : str
        Explanation in the endpoint's answer.
    is_first_on_connection : bool
        Whether no other answer came before on the connection, of which this one could
        be a copy.
    """

    def __init__(
        self, status: int, detail: str, is_first_on_connection: bool = True
    ) -> None:
        super().__init__(f"endpoint answered {status}: {detail}")
        self.status = status
        self.detail = detail
        self.is_first_on_connection = is_first_on_connection


class AnswerTooLargeError(CamphoryardError):
    """An endpoint's answer is larger than the client of it accepts.

    Parameters
    ----------
    status : int
        HTTP status code of the answer.
    limit_bytes : int
        Largest accepted answer, in bytes.
    """

    def __init__(self, status: int, limit_bytes: int) -> None:
        super().__init__(f"answer exceeds {limit_bytes} bytes")
        self.status = status
        self.limit_bytes = limit_bytes


class NotLoadedBeforeDeadlineError(CamphoryardError):
    """No endpoint will have an item loaded before the deadline.

    Parameters
    ----------
    ready_in_s : float
        Estimated time, in seconds, until an endpoint has it loaded.
    """

    def __init__(self, ready_in_s: float) -> None:
        super().__init__(f"loaded in about {ready_in_s:.1f} s")
        self.ready_in_s = ready_in_s


class PeerUnreachableError(CamphoryardError):
    """A peer did not reply before the timeout."""


class ListenError(CamphoryardError):
    """A port cannot be bound; the message suggests a remedy."""
