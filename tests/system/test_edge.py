"""Tests of bad input at the HTTP edge of a real daemon."""

import dataclasses
import json
import socket
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPResponse

import pytest

from standins.engine import expected_answer
from standins.fleet import CALLER_TOKEN, HOST, Fleet
from standins.site import SiteSpec, start_site

TOKEN = f"{CALLER_TOKEN}-meter-app"
GOOD = json.dumps({"model": "meter-3b", "prompt": "hello", "max_tokens": 4}).encode()
COMPLETIONS = "/v1/completions"
ABOVE_OUR_LIMIT = b" " * ((1 << 20) + 1)
ABOVE_SERVERS_LIMIT = 100 << 20


@dataclass(frozen=True)
class Bad:
    """A bad request and the error that it gets."""

    status: int
    code: str
    field: str = ""
    body: bytes = GOOD
    headers: dict = dataclasses.field(default_factory=dict)
    method: str = "POST"
    path: str = COMPLETIONS
    chunked: bool = False


BAD_BY_NAME = {
    "no_json": Bad(400, "bad_json", body=b"{"),
    "bad_utf8_body": Bad(400, "bad_json", body=b'{"model":"\xff"}'),
    "wrong_type": Bad(400, "bad_field", "model", b'{"model":7,"prompt":""}'),
    "wrong_count": Bad(
        400, "bad_field", "max_tokens", b'{"model":"a","prompt":"","max_tokens":0}'
    ),
    "no_prompt": Bad(400, "bad_field", "prompt", b'{"model":"a"}'),
    "unknown_model": Bad(404, "unknown_model", "model", b'{"model":"a","prompt":""}'),
    "large": Bad(413, "body_too_large", "body", ABOVE_OUR_LIMIT),
    "large_chunked": Bad(413, "body_too_large", "body", ABOVE_OUR_LIMIT, chunked=True),
    "bad_deadline": Bad(
        400,
        "bad_header",
        "Camphoryard-Deadline-Ms",
        headers={"Camphoryard-Deadline-Ms": "soon"},
    ),
    "endless_deadline": Bad(
        400,
        "bad_header",
        "Camphoryard-Deadline-Ms",
        headers={"Camphoryard-Deadline-Ms": "9" * 5000},
    ),
    "bad_total_deadline": Bad(
        400,
        "bad_header",
        "Camphoryard-Total-Deadline-Ms",
        headers={"Camphoryard-Total-Deadline-Ms": "0"},
    ),
    "bad_priority": Bad(
        400,
        "bad_header",
        "Camphoryard-Priority",
        headers={"Camphoryard-Priority": "\xff"},
    ),
    "bad_token": Bad(
        401,
        "unauthenticated",
        "Authorization",
        headers={"Authorization": "Bearer \xe9"},
    ),
    "bad_utf8_path": Bad(400, "bad_field", "path", path="/v1/services/%ff/book"),
    "unknown_path": Bad(404, "not_found", path="/v1/nothing"),
    "unknown_method": Bad(405, "method_not_allowed", method="BREW"),
    "bad_encoding": Bad(
        400, "bad_header", headers={"Transfer-Encoding": "gzip"}, body=b""
    ),
}


@pytest.fixture(scope="module")
def site():
    """Return a small site for all tests of the module."""
    with Fleet() as fleet:
        started = start_site(fleet, SiteSpec(nodes=1, fence_ignoring_engines=0))
        started.complete("node-1", "meter-3b", "warm", 1)
        yield started


def send(site, bad):
    """Send a request and return its answer, unread."""
    connection = HTTPConnection(HOST, site.fleet.port("node-1"))
    headers = {"Authorization": f"Bearer {TOKEN}", **bad.headers}
    body = iter([bad.body]) if bad.chunked else bad.body
    connection.request(bad.method, bad.path, body, headers, encode_chunked=bad.chunked)
    return connection.getresponse()


def events(response):
    """Return the decoded events of a stream."""
    lines = response.read().split(b"\n\n")
    return [json.loads(item[6:]) for item in lines if item.startswith(b"data: {")]


class TestBadInput:
    """Requests that cannot be served."""

    @pytest.mark.parametrize("name", BAD_BY_NAME)
    def test_gets_a_stable_error(self, site, name):
        """The error says what was wrong and that nothing ran."""
        bad = BAD_BY_NAME[name]
        response = send(site, bad)
        error = json.loads(response.read())["error"]
        assert (response.status, error["code"], error["field"]) == (
            bad.status,
            bad.code,
            bad.field,
        )
        assert error["verdict"] == response.headers["Camphoryard-Verdict"] == "not run"

    def test_body_above_the_servers_own_limit(self, site):
        """What the server refuses unread gets an answer in our form too."""
        with socket.create_connection((HOST, site.fleet.port("node-1"))) as caller:
            caller.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: %d\r\n\r\n" % ABOVE_SERVERS_LIMIT
            )
            response = HTTPResponse(caller)
            response.begin()
            error = json.loads(response.read())["error"]
        assert (response.status, error["code"]) == (413, "body_too_large")
        assert response.headers["Camphoryard-Verdict"] == "not run"


class TestAnswerForm:
    """Answers in the form that users of model servers know."""

    def test_request_id_is_in_header_and_body(self, site):
        """Callers can name their request to operators."""
        response = send(site, Bad(200, ""))
        assert response.headers["Camphoryard-Request-Id"] == json.load(response)["id"]

    def test_chat_stream(self, site):
        """The role comes first, the reason of the end last."""
        message = {"role": "user", "content": "hi"}
        asked = {"model": "meter-3b", "messages": [message], "max_tokens": 3}
        body = json.dumps({**asked, "stream": True}).encode()
        found = events(send(site, Bad(200, "", "", body, path="/v1/chat/completions")))
        choices = [item["choices"][0] for item in found]
        assert choices[0]["delta"]["role"] == "assistant"
        text = "".join(item["delta"].get("content", "") for item in choices)
        assert text == expected_answer("user: hi", 3)
        assert [item["finish_reason"] for item in choices] == [None] * 3 + ["length"]
