"""Tests of what refusals promise to clients."""

import pytest

from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.verdict import Verdict
from camphoryard.transport.front import AdmissionSwitch, refusal_status

NOT_RUN, MAY_HAVE_RUN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN


class TestRefusalStatus:
    """503 promises that the request has not run; 502 and 504 promise nothing."""

    @pytest.mark.parametrize(
        ("reason", "verdict", "status"),
        [
            (Reason.OVERLOADED, NOT_RUN, 503),
            (Reason.NO_ENDPOINT, NOT_RUN, 503),
            (Reason.NO_ENDPOINT, MAY_HAVE_RUN, 502),
            (Reason.DEADLINE, NOT_RUN, 503),
            (Reason.DEADLINE, MAY_HAVE_RUN, 504),
            (Reason.ENDPOINT_FAILED, MAY_HAVE_RUN, 502),
            (Reason.QUARANTINED, NOT_RUN, 503),
            (Reason.QUARANTINED, MAY_HAVE_RUN, 502),
            (Reason.NOT_FOUND, NOT_RUN, 404),
            (Reason.BAD_HEADER, NOT_RUN, 400),
            (Reason.HEADER_TOO_LARGE, NOT_RUN, 431),
            (Reason.BODY_TOO_LARGE, NOT_RUN, 413),
            (Reason.TOO_SLOW, NOT_RUN, 408),
            (Reason.STALE_CONFIGURATION, NOT_RUN, 503),
        ],
    )
    def test_status(self, reason, verdict, status):
        """The verdict decides, and the reason says more where nothing was sent."""
        assert refusal_status(RefusalError(reason, "x", verdict)) == status

    @pytest.mark.parametrize("reason", list(Reason))
    def test_what_may_have_run_is_never_promised_not_to(self, reason):
        """Whatever the reason, unless the request could not even be read."""
        status = refusal_status(RefusalError(reason, "x", MAY_HAVE_RUN))
        assert status not in (429, 503)


class TestIntake:
    """A stopping node."""

    def test_a_closed_intake_refuses_as_not_run(self):
        """The client finds another node at once."""
        admission = AdmissionSwitch()
        admission.check()
        admission.close()
        with pytest.raises(RefusalError) as caught:
            admission.check()
        assert caught.value.verdict is NOT_RUN
        assert 0 < caught.value.retry_after_s < 1
