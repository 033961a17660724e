"""Tests of inference tasks over fake engines."""

import itertools
import threading
import time
from dataclasses import replace

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.inference import infer
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.state.enums import Reason
from camphoryard.state.errors import (
    BrokenCallError,
    EndpointRefusedError,
    NotSentError,
    RefusalError,
    StalledCallError,
)
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import (
    ENGINES,
    FakeEngines,
    fails,
    never,
    parts,
    request,
    whole,
)

FIRST, SECOND = ENGINES
TEXT = "t0 t1 t2 t3 t4 "


def answer(given, asked=None):
    """Return the text of an answer."""
    texts = []
    infer(given, asked or request(), never(), lambda frame: texts.append(frame.text))
    return "".join(texts)


def refusal(given, asked=None, cancellation=None):
    """Return the refusal of a request."""
    with pytest.raises(RefusalError) as refused:
        infer(given, asked or request(), cancellation or never(), lambda frame: None)
    return refused.value


def never_ejecting(given):
    """Return the parts with breakers whose ejections lapse at once."""
    return replace(given, breakers=Breakers(itertools.count(0.0, 100.0).__next__))


def both(script):
    """Return engines that play the same script."""
    return FakeEngines({FIRST: script, SECOND: script})


class TestAnswer:
    """Whole answers."""

    @pytest.mark.parametrize("error", [BrokenCallError("x"), StalledCallError("x")])
    def test_broken_stream_goes_on_elsewhere(self, error):
        """The second engine is asked for the tokens that are left."""
        engines = FakeEngines({FIRST: fails(error, after=2), SECOND: whole})
        assert answer(parts(engines)) == TEXT
        assert engines.offsets == [0, 2]

    def test_resumed_streams_are_free_of_the_retry_budget(self):
        """A stream that had tokens is resumed with an empty budget."""
        engines = FakeEngines({FIRST: fails(BrokenCallError("x"), 2), SECOND: whole})
        assert answer(parts(engines, reserve=0)) == TEXT

    def test_endpoint_that_failed_is_ejected(self):
        """The next request does not walk into an endpoint that just failed."""
        engines = FakeEngines({FIRST: fails(NotSentError("x")), SECOND: whole})
        given = parts(engines)
        answer(given)
        answer(given, request("again"))
        assert engines.calls == [FIRST, SECOND, SECOND]

    def test_failing_delivery_lets_go_of_the_endpoint(self):
        """What delivering raises ends the answer, its stream and its slot."""
        engines = FakeEngines({FIRST: whole, SECOND: whole})
        given = parts(engines, slots=1)
        refused = RefusalError(Reason.ANSWER_TOO_LARGE, "x", Verdict.RAN)

        def deliver(frame):
            raise refused

        for _ in range(3):
            with pytest.raises(RefusalError) as raised:
                infer(given, request(), never(), deliver)
            assert raised.value is refused
        assert [stream.closed for stream in engines.streams] == [True] * 3

    def test_slots_are_given_back(self):
        """After an answer or a failure no slot is held."""
        engines = FakeEngines({FIRST: fails(BrokenCallError("x"), 2), SECOND: whole})
        given = parts(engines, slots=1)
        for index in range(3):
            answer(given, request(str(index)))
        assert given.admission.waiting() == 0


class TestVerdict:
    """The verdict of each way to be refused."""

    @pytest.mark.parametrize(
        ("error", "verdict"),
        [
            (NotSentError("x"), Verdict.NOT_RUN),
            (EndpointRefusedError(404, "x"), Verdict.NOT_RUN),
            (EndpointRefusedError(503, "x"), Verdict.NOT_RUN),
            (EndpointRefusedError(500, "x"), Verdict.MAY_HAVE_RUN),
            (BrokenCallError("x"), Verdict.MAY_HAVE_RUN),
            (StalledCallError("x"), Verdict.MAY_HAVE_RUN),
        ],
    )
    def test_says_whether_an_endpoint_accepted_it(self, error, verdict):
        """Only what no endpoint accepted was not run."""
        given = never_ejecting(parts(both(fails(error))))
        assert refusal(given).verdict is verdict

    def test_is_kept_over_attempts(self):
        """A refusal after a broken attempt is no proof that nothing ran."""
        engines = FakeEngines(
            {FIRST: fails(BrokenCallError("x")), SECOND: fails(NotSentError("x"))}
        )
        given = never_ejecting(parts(engines))
        assert refusal(given).verdict is Verdict.MAY_HAVE_RUN
        assert set(engines.calls) == {FIRST, SECOND}

    def test_spent_budget_ends_retries(self):
        """Without retry budget a broken call is not sent again."""
        engines = both(fails(BrokenCallError("x")))
        refused = refusal(parts(engines, reserve=0))
        assert refused.reason is Reason.ENDPOINT_FAILED
        assert len(engines.calls) == 1


class TestTotalDeadline:
    """The bound on a whole answer."""

    def test_total_deadline_cuts_between_tokens(self):
        """An answer under way ends with a true error; no token is added."""
        engines = both(whole)
        asked = request(total_deadline_s=time.monotonic())
        refused = refusal(parts(engines), asked)
        assert (refused.reason, refused.verdict) == (
            Reason.DEADLINE,
            Verdict.MAY_HAVE_RUN,
        )
        assert len(engines.calls) == 1

    def test_total_deadline_is_no_fault_of_the_endpoint(self):
        """A read that it broke off ejects nobody and is not tried again."""
        engines = both(fails(StalledCallError("x")))
        given = parts(engines)
        asked = request(total_deadline_s=time.monotonic())
        assert refusal(given, asked).reason is Reason.DEADLINE
        assert len(engines.calls) == 1
        assert given.breakers.allows(engines.calls[0])


class TestCancelled:
    """A caller that goes away."""

    def test_leaves_the_queue(self):
        """A waiting request ends at once and leaves no ticket."""
        engines = both(whole)
        given = parts(engines, slots=0)
        cancellation = Cancellation()
        refusals = []
        waiting = threading.Thread(
            target=lambda: refusals.append(refusal(given, None, cancellation))
        )
        waiting.start()
        while not given.admission.waiting():
            threading.Event().wait(0.001)
        cancellation.cancel()
        waiting.join()
        assert refusals[0].reason is Reason.CANCELLED
        assert refusals[0].verdict is Verdict.NOT_RUN
        assert given.admission.waiting() == 0
        assert engines.calls == []
