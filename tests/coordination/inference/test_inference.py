"""Tests of inference requests over fake engines."""

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
    failing_script,
    make_context,
    never_cancelled,
    remaining_frames,
    request,
)

FIRST, SECOND = ENGINES
TEXT = "t0 t1 t2 t3 t4 "


def answer(context, inference_request=None):
    """Return the text of an answer."""
    texts = []
    infer(
        context,
        inference_request or request(),
        never_cancelled(),
        lambda frame: texts.append(frame.text),
    )
    return "".join(texts)


def refusal(context, inference_request=None, cancellation=None):
    """Return the refusal of a request."""
    with pytest.raises(RefusalError) as refused:
        infer(
            context,
            inference_request or request(),
            cancellation or never_cancelled(),
            lambda frame: None,
        )
    return refused.value


def without_ejections(context):
    """Return the context with breakers whose ejections expire at once."""
    return replace(context, breakers=Breakers(itertools.count(0.0, 100.0).__next__))


def both_engines(script):
    """Return two engines with the same script."""
    return FakeEngines({FIRST: script, SECOND: script})


class TestAnswer:
    """Complete answers, with and without failed attempts."""

    @pytest.mark.parametrize("error", [BrokenCallError("x"), StalledCallError("x")])
    def test_broken_stream_resumes_at_another_endpoint(self, error):
        """The second engine receives the offset of the first missing token."""
        engines = FakeEngines(
            {FIRST: failing_script(error, after=2), SECOND: remaining_frames}
        )
        assert answer(make_context(engines)) == TEXT
        assert engines.offsets == [0, 2]

    def test_resumed_streams_take_no_retry_budget(self):
        """A stream with delivered tokens is resumed even with an empty budget."""
        engines = FakeEngines(
            {FIRST: failing_script(BrokenCallError("x"), 2), SECOND: remaining_frames}
        )
        assert answer(make_context(engines, reserve=0)) == TEXT

    def test_failed_endpoint_is_ejected(self):
        """The next request does not use an endpoint that has just failed."""
        engines = FakeEngines(
            {FIRST: failing_script(NotSentError("x")), SECOND: remaining_frames}
        )
        context = make_context(engines)
        answer(context)
        answer(context, request("again"))
        assert engines.calls == [FIRST, SECOND, SECOND]

    def test_failed_delivery_releases_the_endpoint(self):
        """An error raised by ``deliver`` closes the stream and releases the slot."""
        engines = FakeEngines({FIRST: remaining_frames, SECOND: remaining_frames})
        context = make_context(engines, slots=1)
        refused = RefusalError(Reason.ANSWER_TOO_LARGE, "x", Verdict.RAN)

        def deliver(frame):
            raise refused

        for _ in range(3):
            with pytest.raises(RefusalError) as raised:
                infer(context, request(), never_cancelled(), deliver)
            assert raised.value is refused
        assert [stream.closed for stream in engines.streams] == [True] * 3

    def test_slots_are_released(self):
        """Each answer releases its slots, including that of a failed attempt."""
        engines = FakeEngines(
            {FIRST: failing_script(BrokenCallError("x"), 2), SECOND: remaining_frames}
        )
        context = make_context(engines, slots=1)
        for index in range(3):
            answer(context, request(str(index)))
        assert context.admission.waiting() == 0


class TestVerdict:
    """The verdict of each kind of refusal."""

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
    def test_not_run_only_if_no_endpoint_accepted_it(self, error, verdict):
        """The verdict is NOT_RUN only if no endpoint accepted the request."""
        context = without_ejections(make_context(both_engines(failing_script(error))))
        assert refusal(context).verdict is verdict

    def test_is_kept_across_attempts(self):
        """A refusal after a broken attempt still says that the request may have run."""
        engines = FakeEngines(
            {
                FIRST: failing_script(BrokenCallError("x")),
                SECOND: failing_script(NotSentError("x")),
            }
        )
        context = without_ejections(make_context(engines))
        assert refusal(context).verdict is Verdict.MAY_HAVE_RUN
        assert set(engines.calls) == {FIRST, SECOND}

    def test_exhausted_retry_budget_ends_retries(self):
        """Without retry budget a broken call is not retried."""
        engines = both_engines(failing_script(BrokenCallError("x")))
        refused = refusal(make_context(engines, reserve=0))
        assert refused.reason is Reason.ENDPOINT_FAILED
        assert len(engines.calls) == 1


class TestTotalDeadline:
    """The deadline for the whole answer."""

    def test_total_deadline_ends_the_answer_between_tokens(self):
        """An unfinished answer ends with a refusal and no further token."""
        engines = both_engines(remaining_frames)
        inference_request = request(total_deadline_s=time.monotonic())
        refused = refusal(make_context(engines), inference_request)
        assert (refused.reason, refused.verdict) == (
            Reason.DEADLINE,
            Verdict.MAY_HAVE_RUN,
        )
        assert len(engines.calls) == 1

    def test_total_deadline_does_not_eject_the_endpoint(self):
        """A read that the total deadline ended neither ejects nor is retried."""
        engines = both_engines(failing_script(StalledCallError("x")))
        context = make_context(engines)
        inference_request = request(total_deadline_s=time.monotonic())
        assert refusal(context, inference_request).reason is Reason.DEADLINE
        assert len(engines.calls) == 1
        assert context.breakers.allows(engines.calls[0])


class TestCancelled:
    """A caller that disconnects."""

    def test_waiting_request_leaves_the_queue(self):
        """A cancelled request in the queue ends at once and leaves no ticket."""
        engines = both_engines(remaining_frames)
        context = make_context(engines, slots=0)
        cancellation = Cancellation()
        refusals = []
        waiting = threading.Thread(
            target=lambda: refusals.append(refusal(context, None, cancellation))
        )
        waiting.start()
        while not context.admission.waiting():
            threading.Event().wait(0.001)
        cancellation.cancel()
        waiting.join()
        assert refusals[0].reason is Reason.CANCELLED
        assert refusals[0].verdict is Verdict.NOT_RUN
        assert context.admission.waiting() == 0
        assert engines.calls == []
