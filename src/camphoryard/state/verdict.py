"""The verdict: whether a request may have run."""

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run at an endpoint.

    ``NOT_RUN`` guarantees that no endpoint acted on any part of the request.

    Examples
    --------
    >>> Verdict.NOT_RUN.may_be_sent_again
    True
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"

    @property
    def may_be_sent_again(self) -> bool:
        """Whether a non-idempotent request can be retried without running twice."""
        return self is Verdict.NOT_RUN
