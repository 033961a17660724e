"""Tests of inference requests over fake engines."""

import itertools
import threading
import time
from dataclasses import replace

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.inference.inference import infer
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.state.configuration import Endpoint
from camphoryard.state.enums import EndpointKind, Reason
from camphoryard.state.errors import (
    BrokenCallError,
    EndpointRefusedError,
    NotSentError,
    RefusalError,
    StalledCallError,
)
from camphoryard.state.ids import EndpointId, Generation, Version
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import (
    ENGINES,
    FakeEngines,
    failing_script,
    make_context,
    never_cancelled,
    record,
    remaining_frames,
    request,
)

FIRST, SECOND = ENGINES
THIRD = EndpointId("engine-3")
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


# Guards against LOST: answers were ended in their middle, their callers still waiting.
class TestBegunAnswers:
    """Answers whose rest another engine does not accept at once."""

    DECLINED = EndpointRefusedError(404, "x")

    @classmethod
    def declining_script(cls, times):
        """Return a script that declines ``times`` times before it answers."""
        left = [times]

        def script(inference_request, offset):
            left[0] -= 1
            if left[0] >= 0:
                return [cls.DECLINED]
            return remaining_frames(inference_request, offset)

        return script

    @staticmethod
    def breaking_then(script):
        """Return a script that breaks off after two tokens and then is ``script``."""
        first = failing_script(BrokenCallError("x"), after=2)

        def both(inference_request, offset):
            return (script if offset else first)(inference_request, offset)

        return both

    def test_answer_goes_on_though_engines_decline_its_rest_at_first(self):
        """A request that has not begun is refused after as many attempts."""
        declining = self.declining_script(6)
        engines = FakeEngines(
            {
                FIRST: self.breaking_then(declining),
                SECOND: self.breaking_then(declining),
            }
        )
        assert answer(without_ejections(make_context(engines))) == TEXT

    def test_answer_that_waits_ends_once_its_caller_disconnects(self):
        """No engine is asked for a caller that is gone."""
        cancellation = Cancellation()

        def declining(inference_request, offset):
            cancellation.cancel()
            return [self.DECLINED]

        engines = both_engines(self.breaking_then(declining))
        context = without_ejections(make_context(engines))
        refused = refusal(context, cancellation=cancellation)
        assert refused.reason is Reason.CANCELLED
        assert len(engines.calls) == 2

    def test_answer_goes_on_at_an_engine_that_a_new_configuration_adds(self):
        """Those of the configuration that it began with are gone."""
        engines = FakeEngines({THIRD: remaining_frames})
        context = make_context(engines)
        context.table.observe(record(THIRD), Version(1))

        def replace_engines(inference_request, offset):
            context.configuration.adopt(
                replace(
                    context.configuration.current,
                    generation=Generation(2),
                    endpoints_by_id={
                        THIRD: Endpoint(
                            THIRD, EndpointKind.ENGINE, "127.0.0.1", 3, 9000
                        )
                    },
                )
            )
            return failing_script(BrokenCallError("x"), 2)(inference_request, offset)

        engines.script_by_id |= {FIRST: replace_engines, SECOND: replace_engines}
        assert answer(context) == TEXT
        assert engines.calls[1:] == [THIRD]


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


# Guards against REFUSED: a request that was written to an engine was refused with the
# promise that it had not run.
class TestAbortedCalls:
    """Calls that are aborted before the head of their answer."""

    def test_call_that_the_total_deadline_ended_may_have_run(self):
        """The engine has the request and may run it."""
        engines = both_engines(failing_script(StalledCallError("x")))
        inference_request = request(total_deadline_s=time.monotonic())
        refused = refusal(make_context(engines), inference_request)
        assert (refused.reason, refused.verdict) == (
            Reason.DEADLINE,
            Verdict.MAY_HAVE_RUN,
        )

    def test_call_that_was_cancelled_may_have_run(self):
        """The cancellation breaks the call, which the engine may have begun to run."""
        cancellation = Cancellation()

        def cancel_call(inference_request, offset):
            cancellation.cancel()
            return [BrokenCallError("the call was aborted")]

        context = make_context(both_engines(cancel_call))
        refused = refusal(context, None, cancellation)
        assert (refused.reason, refused.verdict) == (
            Reason.CANCELLED,
            Verdict.MAY_HAVE_RUN,
        )


# Guards against DRAIN: a request that had waited for the trial of another one went to
# the endpoint chosen before the wait, which had left meanwhile.
class TestLeavingDuringTrial:
    """An endpoint that starts to leave while its request waits for a trial."""

    def test_request_goes_to_another_endpoint(self, monkeypatch):
        """The endpoint is checked after the wait as well."""
        engines = both_engines(remaining_frames)
        context = make_context(engines)
        begin = context.suspects.begin
        left = []

        def begin_after_leave(fingerprint, endpoint, deadline_s):
            if not left:
                left.append(endpoint)
                mark_leaving(context.configuration, endpoint)
            return begin(fingerprint, endpoint, deadline_s)

        monkeypatch.setattr(context.suspects, "begin", begin_after_leave)
        assert answer(context) == TEXT
        assert left[0] not in engines.calls


def mark_leaving(holder, endpoint):
    """Set the label that marks an endpoint as leaving."""
    current = holder.current
    leaving = replace(current.endpoints_by_id[endpoint], labels={"leaving": "true"})
    holder.adopt(
        replace(
            current,
            generation=Generation(current.generation + 1),
            endpoints_by_id={**current.endpoints_by_id, endpoint: leaving},
        )
    )
