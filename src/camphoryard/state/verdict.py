"""The verdict: whether a request may have run."""

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run at an endpoint.

    ``NOT_RUN`` is a promise: no byte of the request can have been acted on.

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
        """Whether a non-idempotent request can be sent again without doubling."""
        return self is Verdict.NOT_RUN
