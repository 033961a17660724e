"""Tests of one attempt to run a request at one endpoint."""

import pytest

from camphoryard.coordination.admission.admission import Lane, Ticket
from camphoryard.coordination.inference.attempts import attempt
from camphoryard.coordination.inference.inference_context import Progress
from camphoryard.coordination.inference.suspects import fingerprint
from camphoryard.state.enums import Priority
from camphoryard.state.errors import (
    BrokenCallError,
    EndpointRefusedError,
    NoInventoryError,
    NotSentError,
    StalledCallError,
)
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import (
    ENGINES,
    FAR_DEADLINE_S,
    GROUP,
    ITEM,
    FakeEngines,
    failing_script,
    make_context,
    never_cancelled,
    remaining_frames,
    request,
)

FIRST = ENGINES[0]


def try_once(context, progress, deliver=lambda frame: None):
    """Try the first engine."""
    lane = Lane(GROUP, (ITEM,), Priority.STANDARD, frozenset(), False)
    ticket = Ticket(lane, ENGINES, FAR_DEADLINE_S, "", lambda: [FIRST])
    ticket.endpoint = FIRST
    attempt(context, request(), ticket, never_cancelled(), progress, deliver)


class TestAttempt:
    """Progress, breakers and suspects after one attempt."""

    def test_complete_answer(self):
        """A complete answer advances the offset and resets the failed attempts."""
        progress, texts = Progress(), []
        context = make_context(FakeEngines({FIRST: remaining_frames}))
        try_once(context, progress, lambda frame: texts.append(frame.text))
        assert "".join(texts) == "t0 t1 t2 t3 t4 "
        assert (progress.offset, progress.attempts_without_token) == (5, 0)

    @pytest.mark.parametrize(
        ("error", "is_ejected", "verdict"),
        [
            (NotSentError("x"), True, Verdict.NOT_RUN),
            (EndpointRefusedError(404, "x"), False, Verdict.NOT_RUN),
            (EndpointRefusedError(503, "x"), True, Verdict.NOT_RUN),
            (EndpointRefusedError(500, "x"), True, Verdict.MAY_HAVE_RUN),
            (StalledCallError("x"), True, Verdict.MAY_HAVE_RUN),
            (BrokenCallError("x"), True, Verdict.MAY_HAVE_RUN),
        ],
    )
    def test_failed_attempt(self, error, is_ejected, verdict):
        """Each error determines the ejection of the endpoint and the verdict."""
        progress = Progress()
        context = make_context(FakeEngines({FIRST: failing_script(error)}))
        with pytest.raises(type(error)):
            try_once(context, progress)
        assert context.breakers.allows(FIRST) is not is_ejected
        assert progress.verdict is verdict
        assert progress.failed == {FIRST}

    @pytest.mark.parametrize("is_down", [True, False])
    def test_suspect_after_crash(self, is_down):
        """A request becomes a suspect only if its endpoint is down afterwards."""
        engines = FakeEngines({FIRST: failing_script(BrokenCallError("x"))})
        if is_down:
            engines.down.add(FIRST)
        context = make_context(engines)
        with pytest.raises(BrokenCallError):
            try_once(context, Progress())
        suspects = [suspect.fingerprint for suspect in context.suspects.known()]
        assert suspects == ([fingerprint(request())] if is_down else [])

    # Guards against the quarantine of sound requests: an engine that refused to tell
    # what it has loaded counted as crashed.
    def test_no_suspect_if_the_endpoint_answers_something_else(self, monkeypatch):
        """An answer that is no inventory shows that the endpoint is up."""
        engines = FakeEngines({FIRST: failing_script(BrokenCallError("x"))})

        def refuse(endpoint):
            raise NoInventoryError("inventory answered with status 503")

        monkeypatch.setattr(engines, "inventory", refuse)
        context = make_context(engines)
        with pytest.raises(BrokenCallError):
            try_once(context, Progress())
        assert not list(context.suspects.known())
