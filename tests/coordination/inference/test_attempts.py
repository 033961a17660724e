"""Tests of one attempt at one endpoint."""

import pytest

from camphoryard.coordination.admission.admission import Lane, Ticket
from camphoryard.coordination.inference.attempts import attempt
from camphoryard.coordination.inference.inference_context import Progress
from camphoryard.coordination.inference.suspects import fingerprint
from camphoryard.state.enums import Priority
from camphoryard.state.errors import (
    BrokenCallError,
    EndpointRefusedError,
    NotSentError,
    StalledCallError,
)
from camphoryard.state.verdict import Verdict
from tests.fakes.serving import (
    ENGINES,
    FAR_S,
    GROUP,
    ITEM,
    FakeEngines,
    fails,
    never,
    parts,
    request,
    whole,
)

FIRST = ENGINES[0]


def try_once(given, progress, deliver=lambda frame: None):
    """Try the first engine."""
    lane = Lane(GROUP, (ITEM,), Priority.STANDARD, frozenset(), False)
    ticket = Ticket(lane, ENGINES, FAR_S, "", lambda: [FIRST])
    ticket.endpoint = FIRST
    attempt(given, request(), ticket, never(), progress, deliver)


class TestAttempt:
    """What an attempt leaves behind."""

    def test_whole_answer(self):
        """Every token is counted, and the attempt was not fruitless."""
        progress, texts = Progress(), []
        given = parts(FakeEngines({FIRST: whole}))
        try_once(given, progress, lambda frame: texts.append(frame.text))
        assert "".join(texts) == "t0 t1 t2 t3 t4 "
        assert (progress.offset, progress.fruitless) == (5, 0)

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
    def test_failure(self, error, is_ejected, verdict):
        """Each failure says what it proves about the endpoint and the request."""
        progress = Progress()
        given = parts(FakeEngines({FIRST: fails(error)}))
        with pytest.raises(type(error)):
            try_once(given, progress)
        assert given.breakers.allows(FIRST) is not is_ejected
        assert progress.verdict is verdict
        assert progress.failed == {FIRST}

    @pytest.mark.parametrize("is_down", [True, False])
    def test_crash(self, is_down):
        """A request is a suspect only if its endpoint went down with it."""
        engines = FakeEngines({FIRST: fails(BrokenCallError("x"))})
        if is_down:
            engines.down.add(FIRST)
        given = parts(engines)
        with pytest.raises(BrokenCallError):
            try_once(given, Progress())
        suspects = [suspect.fingerprint for suspect in given.suspects.known()]
        assert suspects == ([fingerprint(request())] if is_down else [])
