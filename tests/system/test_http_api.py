"""Tests of the HTTP API of a real daemon: invalid requests and answer format."""

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
VALID_BODY = json.dumps(
    {"model": "meter-3b", "prompt": "hello", "max_tokens": 4}
).encode()
COMPLETIONS = "/v1/completions"
BODY_ABOVE_DAEMON_LIMIT = b" " * ((1 << 20) + 1)
LENGTH_ABOVE_SERVER_LIMIT_BYTES = 100 << 20


@dataclass(frozen=True)
class RequestCase:
    """A request, and the status, error code and error field of its answer."""

    status: int
    code: str
    field: str = ""
    body: bytes = VALID_BODY
    headers: dict = dataclasses.field(default_factory=dict)
    method: str = "POST"
    path: str = COMPLETIONS
    chunked: bool = False


BAD_REQUEST_BY_NAME = {
    "no_json": RequestCase(400, "bad_json", body=b"{"),
    "bad_utf8_body": RequestCase(400, "bad_json", body=b'{"model":"\xff"}'),
    "wrong_type": RequestCase(400, "bad_field", "model", b'{"model":7,"prompt":""}'),
    "wrong_count": RequestCase(
        400, "bad_field", "max_tokens", b'{"model":"a","prompt":"","max_tokens":0}'
    ),
    "no_prompt": RequestCase(400, "bad_field", "prompt", b'{"model":"a"}'),
    "unknown_model": RequestCase(
        404, "unknown_model", "model", b'{"model":"a","prompt":""}'
    ),
    "large": RequestCase(413, "body_too_large", "body", BODY_ABOVE_DAEMON_LIMIT),
    "large_chunked": RequestCase(
        413, "body_too_large", "body", BODY_ABOVE_DAEMON_LIMIT, chunked=True
    ),
    "bad_deadline": RequestCase(
        400,
        "bad_header",
        "Camphoryard-Deadline-Ms",
        headers={"Camphoryard-Deadline-Ms": "soon"},
    ),
    "endless_deadline": RequestCase(
        400,
        "bad_header",
        "Camphoryard-Deadline-Ms",
        headers={"Camphoryard-Deadline-Ms": "9" * 5000},
    ),
    "bad_total_deadline": RequestCase(
        400,
        "bad_header",
        "Camphoryard-Total-Deadline-Ms",
        headers={"Camphoryard-Total-Deadline-Ms": "0"},
    ),
    "bad_priority": RequestCase(
        400,
        "bad_header",
        "Camphoryard-Priority",
        headers={"Camphoryard-Priority": "\xff"},
    ),
    "bad_token": RequestCase(
        401,
        "unauthenticated",
        "Authorization",
        headers={"Authorization": "Bearer \xe9"},
    ),
    "bad_utf8_path": RequestCase(
        400, "bad_field", "path", path="/v1/services/%ff/book"
    ),
    "unknown_path": RequestCase(404, "not_found", path="/v1/nothing"),
    "unknown_method": RequestCase(405, "method_not_allowed", method="BREW"),
    "bad_encoding": RequestCase(
        400, "bad_header", headers={"Transfer-Encoding": "gzip"}, body=b""
    ),
}


@pytest.fixture(scope="module")
def site():
    """Return a small site that the tests of this module share."""
    with Fleet() as fleet:
        started = start_site(fleet, SiteSpec(nodes=1, fence_ignoring_engines=0))
        started.complete("node-1", "meter-3b", "warm", 1)
        yield started


def send(site, case):
    """Send a request and return its response, with the body unread."""
    connection = HTTPConnection(HOST, site.fleet.port("node-1"))
    headers = {"Authorization": f"Bearer {TOKEN}", **case.headers}
    body = iter([case.body]) if case.chunked else case.body
    connection.request(
        case.method, case.path, body, headers, encode_chunked=case.chunked
    )
    return connection.getresponse()


def events(response):
    """Return the decoded events of a stream."""
    lines = response.read().split(b"\n\n")
    return [json.loads(item[6:]) for item in lines if item.startswith(b"data: {")]


class TestBadInput:
    """Invalid requests."""

    @pytest.mark.parametrize("name", BAD_REQUEST_BY_NAME)
    def test_error_code_field_and_verdict(self, site, name):
        """The error names the invalid field, and the verdict is "not run"."""
        case = BAD_REQUEST_BY_NAME[name]
        response = send(site, case)
        error = json.loads(response.read())["error"]
        assert (response.status, error["code"], error["field"]) == (
            case.status,
            case.code,
            case.field,
        )
        assert error["verdict"] == response.headers["Camphoryard-Verdict"] == "not run"

    def test_body_above_the_server_limit(self, site):
        """A body that the HTTP server refuses unread gets the same error format."""
        with socket.create_connection((HOST, site.fleet.port("node-1"))) as caller:
            caller.sendall(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: %d\r\n\r\n" % LENGTH_ABOVE_SERVER_LIMIT_BYTES
            )
            response = HTTPResponse(caller)
            response.begin()
            error = json.loads(response.read())["error"]
        assert (response.status, error["code"]) == (413, "body_too_large")
        assert response.headers["Camphoryard-Verdict"] == "not run"


class TestAnswerFormat:
    """Answers in the format of common model servers."""

    def test_request_id_is_in_header_and_body(self, site):
        """The header and the body have the same request id."""
        response = send(site, RequestCase(200, ""))
        assert response.headers["Camphoryard-Request-Id"] == json.load(response)["id"]

    def test_chat_stream(self, site):
        """The first event has the role, the last one the finish reason."""
        message = {"role": "user", "content": "hi"}
        chat_request = {"model": "meter-3b", "messages": [message], "max_tokens": 3}
        body = json.dumps({**chat_request, "stream": True}).encode()
        found = events(
            send(site, RequestCase(200, "", "", body, path="/v1/chat/completions"))
        )
        choices = [item["choices"][0] for item in found]
        assert choices[0]["delta"]["role"] == "assistant"
        text = "".join(item["delta"].get("content", "") for item in choices)
        assert text == expected_answer("user: hi", 3)
        assert [item["finish_reason"] for item in choices] == [None] * 3 + ["length"]
