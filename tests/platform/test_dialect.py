"""Tests of heads of requests and answers."""

import pytest

from camphoryard.coordination.forwarding.ports import AnswerKind, SendOptions
from camphoryard.platform.dialect import PlatformDialect
from camphoryard.protocol.dialect import RequestHead
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.verdict import Verdict
from tests.fakes.engines import make_endpoint

HEADERS = {
    "host": "H.example:80",
    "attempt-id": "q1",
    "deadline-ms": "1500",
    "model": "m1/a3",
    "token-count": "1460,80",
    "length-hint": "40",
    "prompt-prefix": "5c1e:800,91bd:410",
    "x-own": "kept",
    "connection": "keep-alive",
    "content-length": "3",
    "last-event-id": "12",
}
SENDING = SendOptions(0.0, 1.0, 2, None, 1.0)


def read(**changes):
    """Return a request with some headers changed; None leaves one out."""
    headers = {
        name: value
        for name, value in {**HEADERS, **changes}.items()
        if value is not None
    }
    head = RequestHead("POST", "/a/b", headers)
    return PlatformDialect().read_request(head, b"abc", 100.0)


class TestReadRequest:
    """What a client says."""

    def test_fields_are_read(self):
        """Model, adapter, tokens and prompt parts are told apart."""
        request = read()
        assert (request.requested_model.model, request.requested_model.adapter) == (
            "m1",
            "a3",
        )
        assert (request.prompt_tokens, request.max_output_tokens) == (1460, 80)
        assert [part.tokens for part in request.prompt_parts] == [800, 410]
        assert request.deadline_s == 101.5
        assert request.host == "h.example"

    @pytest.mark.parametrize(
        "changes",
        [
            {"attempt-id": None},
            {"deadline-ms": "soon"},
            {"token-count": "many"},
            {"prompt-prefix": "5c1e"},
        ],
    )
    def test_a_header_that_cannot_be_read_is_refused(self, changes):
        """The refusal names it, and the request has not run."""
        with pytest.raises(RefusalError) as caught:
            read(**changes)
        assert caught.value.reason is Reason.BAD_HEADER
        assert caught.value.verdict is Verdict.NOT_RUN

    @pytest.mark.parametrize(
        "name",
        ["hold", "pin-ms", "kv-backup", "kv-from", "expect-instance", "urgency-class"],
    )
    def test_what_is_the_systems_to_set_does_not_go_on(self, name):
        """A client cannot reserve memory or choose its urgency."""
        request = read(**{name: "1"})
        headers = PlatformDialect().call_headers(make_endpoint(), request, SENDING, 1.0)
        assert headers.get(name.title()) != "1"


class TestCallHeaders:
    """What an endpoint is told."""

    def test_the_endpoint_and_the_time_left_are_named(self):
        """Another endpoint at the address declines; none works past the deadline."""
        headers = PlatformDialect().call_headers(make_endpoint(), read(), SENDING, 0.75)
        assert headers["Expect-Instance"] == "e1"
        assert headers["Deadline-Ms"] == "750"

    def test_other_headers_go_on_and_those_of_the_connection_do_not(self):
        """Hop-by-hop headers end here."""
        headers = PlatformDialect().call_headers(make_endpoint(), read(), SENDING, 1.0)
        assert headers["X-Own"] == "kept"
        assert "Connection" not in headers
        assert headers["Attempt-Id"] == "q1"


class TestReadAnswer:
    """What an endpoint answers."""

    @pytest.mark.parametrize(
        ("status", "headers", "kind"),
        [
            (200, {"Server-Seal": "s", "Attempt-Id": "q1"}, AnswerKind.SERVED),
            (200, {"Attempt-Id": "q1"}, AnswerKind.UNTRUSTED),
            (
                200,
                {"Server-Seal": "s", "Attempt-Id": "q1", "Content-Encoding": "x"},
                AnswerKind.UNTRUSTED,
            ),
            (500, {"Server-Seal": "s", "Attempt-Id": "q1"}, AnswerKind.FAILED),
            (503, {"Not-Executed": "1"}, AnswerKind.NOT_RUN),
            (503, {}, AnswerKind.UNTRUSTED),
            (421, {"Instance-Id": "i-2"}, AnswerKind.NOT_LOADED),
        ],
    )
    def test_kinds(self, status, headers, kind):
        """Only what says so has not run, and only what is signed is a success."""
        assert PlatformDialect().read_answer(read(), status, headers).kind is kind

    def test_the_answer_to_another_request_is_told_apart(self):
        """Its id is another one."""
        headers = {"Attempt-Id": "other", "Server-Seal": "s"}
        assert PlatformDialect().read_answer(read(), 200, headers) is None

    def test_a_signed_answer_that_names_no_request_is_another_ones(self):
        """Endpoints name the request in each answer that they sign."""
        assert PlatformDialect().read_answer(read(), 200, {"Server-Seal": "s"}) is None


class TestRefusalHeaders:
    """What a refused client is told."""

    def test_only_a_promise_bears_a_time_to_return(self):
        """What may have run is not to be sent again."""
        heads = PlatformDialect()
        promise = RefusalError(Reason.OVERLOADED, "x", retry_after_s=1.25)
        unsure = RefusalError(
            Reason.ENDPOINT_FAILED, "x", Verdict.MAY_HAVE_RUN, retry_after_s=1.25
        )
        assert heads.refusal_headers(None, promise) == {"Retry-After": "1.250"}
        assert heads.refusal_headers(None, unsure) == {}
