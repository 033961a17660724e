"""Tests of one request on its way, against fake endpoints."""

import pytest

from camphoryard.coordination.cancellation import Cancellation
from camphoryard.coordination.forwarding.choosing import EndpointChooser
from camphoryard.coordination.forwarding.exchange import forward
from camphoryard.coordination.forwarding.parts import ForwardingParts
from camphoryard.coordination.forwarding.ports import (
    AnswerHead,
    AnswerKind,
    ClientRequest,
)
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.crash_tally import CrashTally, fingerprint
from camphoryard.coordination.routing.first_events import FirstEvents
from camphoryard.coordination.routing.retry_window import RepeatLimits, RetryWindow
from camphoryard.state.directory import Directory
from camphoryard.state.enums import Reason
from camphoryard.state.errors import (
    BrokenCallError,
    NotLoadedBeforeDeadlineError,
    NotSentError,
    RefusalError,
    StalledCallError,
)
from camphoryard.state.ids import ModelId, RequestId, Urgency
from camphoryard.state.serving_endpoints import EndpointState
from camphoryard.state.tables import InFlightTable
from camphoryard.state.traffic import Repeatability, RequestedModel
from camphoryard.state.verdict import Verdict
from tests.fakes.engines import (
    ZONE,
    Clock,
    KeptLines,
    make_endpoint,
    make_rule,
    make_rules,
)

ONE, TWO, THREE = (f"id: {n}\ndata: {n}\n\n".encode() for n in (1, 2, 3))
MOST_URGENT = Urgency(0)
PAUSE = b"PAUSE"
"""Among the pieces of an answer: nothing comes for longer than a stream may pause."""


class Answer:
    """An answer; ``error`` ends its pieces."""

    def __init__(self, pieces, kind=AnswerKind.SERVED, status=200, error=None):
        self.head = AnswerHead(kind, status, {"X-From": "endpoint"})
        self._pieces, self._error = pieces, error
        self.is_closed = False

    def body(self):
        """Return the whole body."""
        if self._error:
            raise self._error
        return b"".join(self._pieces)

    def pieces(self, patience_s, waits_on):
        """Yield the body as it comes; at a pause, ask whether to wait on."""
        for piece in self._pieces:
            if piece is not PAUSE:
                yield piece
            elif not waits_on():
                raise StalledCallError("silent")
        if self._error:
            raise self._error

    def close(self):
        """Let go."""
        self.is_closed = True


def served(*pieces, error=None):
    """Return an answer with a body."""
    return Answer(pieces, error=error)


def declined(kind=AnswerKind.NOT_RUN):
    """Return an answer that says that the request has not run."""
    return Answer([b""], kind, 503)


def failed():
    """Return the endpoint's own failure."""
    return Answer([b"oops"], AnswerKind.FAILED, 500)


class Upstream:
    """Answers in the order given; errors are raised."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []
        self.on_open = lambda: None
        self.down = set()

    def open(self, endpoint, request, sending, cancellation):
        """Send a request."""
        self.sent.append((endpoint.id, sending))
        self.on_open()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def is_down(self, endpoint):
        """Tell whether an endpoint takes connections."""
        return endpoint.id in self.down


class Reply:
    """What the client gets."""

    def __init__(self):
        self.has_begun = False
        self.status, self.body = None, b""

    def begin(self, status, headers):
        """Take the head."""
        self.has_begun, self.status = True, status

    def write(self, data):
        """Take a piece."""
        self.body += data

    def whole(self, status, headers, body):
        """Take a whole answer."""
        self.begin(status, headers)
        self.write(body)


class Models:
    """A seeker that finds nothing, or one endpoint."""

    def __init__(self, found=None):
        self.found = found

    def seek(self, service, wanted, deadline_s, avoid=()):
        """Find an endpoint."""
        self.avoided = set(avoid)
        if self.found is None:
            raise NotLoadedBeforeDeadlineError(3.0)
        return self.found

    def arrived(self, wanted):
        """Note a request."""

    def finished(self, wanted, held_s):
        """Note its end."""


class Site:
    """Endpoints, a route and one request."""

    def __init__(self, *answers, repeatability=Repeatability.IDEMPOTENT, **options):
        self.clock = Clock()
        self.directory = Directory(self.clock)
        rule = make_rule(repeatability, **options.get("rule", {}))
        if options.get("is_configured", True):
            self.directory.adopt(make_rules(rules=[rule]))
        names = options.get("endpoints", ("e1", "e2"))
        self.directory.replace_all(
            [make_endpoint(name, options.get("models", ())) for name in names], False
        )
        self.upstream = Upstream(*answers)
        self.log, self.told = KeptLines(), []
        self.crashes = CrashTally(self.clock)
        self.breakers = Breakers(self.clock)
        self.first_events = FirstEvents(self.clock)
        in_flight = InFlightTable()
        limits = RepeatLimits(0.2, options.get("reserve", 50.0), 10.0)
        self.parts = ForwardingParts(
            self.directory,
            EndpointChooser(ZONE, in_flight.count),
            in_flight,
            self.breakers,
            self.first_events,
            RetryWindow(limits, lambda: 1, self.clock),
            self.upstream,
            options.get("seeker", Models()),
            self.crashes,
            self.told.append,
            self.log,
            lambda *_: None,
            lambda _: None,
            self.clock,
        )
        self.request = ClientRequest(
            RequestId("q1"),
            "POST",
            options.get("host", "site.example"),
            "/a/b?c=d",
            {},
            options.get("body", b""),
            self.clock.now_s,
            self.clock.now_s + 20.0,
            wanted=options.get("wanted"),
        )
        self.reply = Reply()
        self.cancellation = Cancellation()

    def forward(self):
        """Forward the request."""
        return forward(self.parts, self.request, self.cancellation, self.reply)

    def refusal(self):
        """Return the refusal that forwarding ends with."""
        with pytest.raises(RefusalError) as caught:
            self.forward()
        return caught.value

    @property
    def sent_to(self):
        """The endpoints sent to, in order."""
        return [endpoint for endpoint, _ in self.upstream.sent]


class TestWholeAnswers:
    """Requests whose answer is not a stream."""

    def test_an_answer_goes_on_as_it_is(self):
        """Status and body are the endpoint's."""
        site = Site(served(b"ok"))
        site.forward()
        assert (site.reply.status, site.reply.body) == (200, b"ok")

    def test_what_was_declined_goes_elsewhere(self):
        """A request that has not run may be sent on, whatever its kind."""
        site = Site(declined(), served(b"ok"), repeatability=Repeatability.ONCE)
        site.forward()
        assert len(set(site.sent_to)) == 2

    def test_what_every_endpoint_declined_has_not_run(self):
        """The refusal promises it and says when to come back."""
        site = Site(declined(), declined(), repeatability=Repeatability.ONCE)
        refusal = site.refusal()
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_s > 0

    @pytest.mark.parametrize("error", [BrokenCallError("x"), StalledCallError("x")])
    def test_what_may_have_run_once_is_never_sent_again(self, error):
        """A booking whose call broke is not repeated, and promises nothing."""
        site = Site(error, repeatability=Repeatability.ONCE)
        assert site.refusal().verdict is Verdict.MAY_HAVE_RUN
        assert len(site.sent_to) == 1

    def test_what_was_never_sent_goes_elsewhere(self):
        """No connection proves that nothing ran."""
        site = Site(NotSentError("x"), served(b"ok"), repeatability=Repeatability.ONCE)
        site.forward()
        assert site.reply.status == 200

    def test_an_idempotent_request_is_repeated(self):
        """A lookup whose call broke is sent to another endpoint."""
        site = Site(BrokenCallError("x"), served(b"ok"))
        site.forward()
        assert site.reply.body == b"ok"

    def test_attempts_are_bounded_by_the_route(self):
        """A lookup runs at no more endpoints than its route allows."""
        site = Site(*[BrokenCallError("x")] * 4, endpoints=("e1", "e2", "e3", "e4"))
        assert site.refusal().reason is Reason.ENDPOINT_FAILED
        assert len(site.sent_to) == 2

    def test_repeats_are_bounded_by_the_budget(self):
        """Without budget left a failure is told at once."""
        site = Site(BrokenCallError("x"), served(b"ok"), reserve=0.0)
        site.refusal()
        assert len(site.sent_to) == 1

    def test_the_last_failure_is_the_endpoints_own(self):
        """A failure that cannot be repeated goes on unchanged."""
        site = Site(failed(), failed())
        site.forward()
        assert (site.reply.status, site.reply.body) == (500, b"oops")

    def test_a_booking_that_failed_is_not_repeated(self):
        """The endpoint says that it ran."""
        site = Site(failed(), repeatability=Repeatability.ONCE)
        site.forward()
        assert (site.reply.status, len(site.sent_to)) == (500, 1)

    def test_an_answer_without_the_endpoints_signature_is_no_success(self):
        """Such bytes are not handed on."""
        site = Site(
            Answer([b"x"], AnswerKind.UNTRUSTED), repeatability=Repeatability.ONCE
        )
        assert site.refusal().verdict is Verdict.MAY_HAVE_RUN


class TestStreams:
    """Requests whose answer is a series of events."""

    STREAM = Repeatability.RESUMABLE_STREAM

    def test_a_broken_stream_goes_on_after_its_last_whole_event(self):
        """The client gets each event once, and no part of a broken one."""
        first = served(ONE, TWO + THREE[:6], error=BrokenCallError("x"))
        site = Site(first, served(THREE), repeatability=self.STREAM)
        site.forward()
        assert site.reply.body == ONE + TWO + THREE
        assert site.upstream.sent[1][1].resume_after == "2"

    def test_a_stream_that_may_not_be_resumed_is_broken_off(self):
        """Its client sees that it is not whole."""
        first = served(ONE, error=BrokenCallError("x"))
        site = Site(first, repeatability=Repeatability.STREAM)
        site.refusal()
        assert site.reply.has_begun

    def test_a_stream_that_ends_within_an_event_is_not_whole(self):
        """An end that comes too soon looks like no end."""
        site = Site(served(ONE, TWO[:5]), repeatability=Repeatability.STREAM)
        assert site.refusal().verdict is Verdict.MAY_HAVE_RUN

    def test_a_stream_that_pauses_goes_on_elsewhere(self):
        """Where another endpoint holds its model."""
        site = Site(served(ONE, PAUSE, TWO), served(TWO), repeatability=self.STREAM)
        site.forward()
        assert site.reply.body == ONE + TWO
        assert site.sent_to in (["e1", "e2"], ["e2", "e1"])

    @pytest.mark.parametrize(
        "options", [{"endpoints": ("e1",)}, {"reserve": 0.0}, {"ejected": "e2"}]
    )
    def test_a_pause_is_waited_for_where_nothing_better_is_left(self, options):
        """No other endpoint, no repeat left, or the other one has failed lately."""
        site = Site(served(ONE, PAUSE, TWO), repeatability=self.STREAM, **options)
        if "ejected" in options:
            site.breakers.failed(options["ejected"])
        site.forward()
        assert site.reply.body == ONE + TWO
        assert len(site.sent_to) == 1

    def test_a_silent_endpoint_is_given_less_time_if_another_may_be_tried(self):
        """The last attempt has all the time that the client has."""
        site = Site(StalledCallError("x"), served(ONE), repeatability=self.STREAM)
        site.forward()
        first, second = (sending.patience_s for _, sending in site.upstream.sent)
        assert first < second

    def test_the_deadline_of_a_repeat_is_that_of_the_first(self):
        """No endpoint is given more time than the client has."""
        site = Site(BrokenCallError("x"), served(ONE), repeatability=self.STREAM)
        site.forward()
        deadlines = {sending.deadline_s for _, sending in site.upstream.sent}
        assert deadlines == {site.clock.now_s + 10.0}


class TestCrowds:
    """More streams at an engine than can begin before their clients leave."""

    def test_a_hopeless_stream_is_refused_before_it_is_sent(self):
        """It has not run, and its client is told when to come back."""
        site = Site(served(ONE), repeatability=Repeatability.STREAM, endpoints=("e1",))
        for _ in range(20):
            site.first_events.sent("e1", MOST_URGENT)
        refusal = site.refusal()
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_s > 0
        assert site.sent_to == []

    def test_another_engine_without_a_queue_is_taken(self):
        """Even if more of its slots are filled."""
        site = Site(served(ONE), repeatability=Repeatability.STREAM)
        for _ in range(20):
            site.first_events.sent("e1", MOST_URGENT)
        site.forward()
        assert site.sent_to == ["e2"]

    def test_a_whole_answer_is_not_kept_back(self):
        """Lookups wait in the endpoint's own queue."""
        site = Site(served(b"ok"), endpoints=("e1",))
        for _ in range(20):
            site.first_events.sent("e1", MOST_URGENT)
        site.forward()
        assert site.reply.status == 200


class TestCrashes:
    """A request that crashes each endpoint that begins to run it."""

    def test_it_is_refused_after_the_third_endpoint(self):
        """Also where other nodes saw the first two."""
        site = Site(BrokenCallError("x"), served(b"ok"), body=b"poison")
        digest = fingerprint(site.request)
        site.crashes.observe(digest, "e8")
        site.crashes.observe(digest, "e9")
        site.upstream.down = {"e1", "e2"}
        assert site.refusal().reason is Reason.QUARANTINED
        assert [seen.fingerprint for seen in site.told] == [digest]
        assert site.refusal().verdict is Verdict.NOT_RUN
        assert len(site.sent_to) == 1

    def test_a_connection_that_broke_alone_is_no_crash(self):
        """The endpoint still takes connections."""
        site = Site(BrokenCallError("x"), served(b"ok"), body=b"innocent")
        site.forward()
        assert site.told == []

    def test_requests_without_a_body_are_told_apart_by_nothing(self):
        """None of them is barred for another."""
        assert fingerprint(Site().request) is None


class TestRefusals:
    """What is known not to be served is refused at once."""

    def test_without_rules_nothing_is_not_found(self):
        """A node that knows no configuration says so, and 404 to nobody."""
        refusal = Site(is_configured=False).refusal()
        assert refusal.reason is Reason.STALE_CONFIGURATION
        assert refusal.verdict is Verdict.NOT_RUN

    def test_a_host_without_a_route_is_not_found(self):
        """No rules take it."""
        assert Site(host="other.example").refusal().reason is Reason.NOT_FOUND

    def test_a_service_without_endpoints_refuses_at_once(self):
        """The client is told when to come back."""
        refusal = Site(endpoints=()).refusal()
        assert refusal.reason is Reason.NO_ENDPOINT
        assert refusal.retry_after_s > 0

    def test_a_model_that_comes_too_late_is_refused_with_its_time(self):
        """Retry-After is not before the model can be used."""
        wanted = RequestedModel(ModelId("m1"))
        refusal = Site(wanted=wanted).refusal()
        assert refusal.reason is Reason.OVERLOADED
        assert refusal.retry_after_s >= 3.0

    def test_a_request_whose_client_has_left_goes_nowhere(self):
        """After the client's end no further endpoint is tried."""
        site = Site(BrokenCallError("x"), served(b"ok"))
        site.upstream.on_open = site.cancellation.cancel
        assert site.refusal().reason is Reason.CANCELLED
        assert len(site.sent_to) == 1

    def test_a_request_whose_client_left_while_it_waited_is_not_sent(self):
        """The client is looked for again right before the call."""
        site = Site(served(b"ok"))
        site.cancellation.cancel()
        assert site.refusal().reason is Reason.CANCELLED
        assert site.sent_to == []

    def test_an_engine_that_takes_no_connection_is_told_to_who_orders(self):
        """Its models are then loaded elsewhere."""
        seeker = Models(make_endpoint("e2", ("m1",)))
        wanted = RequestedModel(ModelId("m1"))
        site = Site(
            NotSentError("x"),
            served(b"ok"),
            wanted=wanted,
            seeker=seeker,
            endpoints=("e1",),
            models=("m1",),
        )
        site.forward()
        assert seeker.avoided == {"e1"}
        assert site.sent_to == ["e1", "e2"]

    def test_a_draining_endpoint_gets_nothing(self):
        """Only endpoints that take new work are chosen."""
        site = Site(served(b"ok"), endpoints=("e1",))
        site.directory.observe(make_endpoint("e2", state=EndpointState.DRAINING))
        site.forward()
        assert site.sent_to == ["e1"]
