"""A fake daemon with preset answers for the command-line tool."""

import json

import pytest
from typer.testing import CliRunner

from camphoryard.cli import app, configuring, connection
from camphoryard.cli.connection import Answer, UnreachableError

SERVER = "http://10.0.0.1:8000"


class FakeDaemon:
    """Answers calls by path; a list of answers is used up in order."""

    def __init__(self):
        self.answers_by_path = {}
        self.calls = []

    def send(self, server, token, call):
        """Answer a call in place of ``connection.send``."""
        self.calls.append(call)
        answer = self.answers_by_path[call.path]
        if isinstance(answer, list):
            answer = answer.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def answer(self, path, body, status=200, verdict="ran"):
        """Answer calls to ``path`` with a JSON body."""
        answer = Answer(status, verdict, json.dumps(body).encode())
        self.answers_by_path[path] = answer
        return answer

    def refuse(self, path, code, verdict="not run", status=409):
        """Refuse calls to ``path`` with an error code."""
        error = {"code": code, "message": "why", "verdict": verdict, "field": None}
        return self.answer(path, {"error": error}, status, verdict)

    def run(self, *arguments):
        """Run the tool; return its result."""
        options = ["--server", SERVER, "--token", "t"]
        command, *rest = arguments
        return CliRunner().invoke(app, [command, *options, *rest])


@pytest.fixture
def daemon(monkeypatch):
    """Return a fake daemon that replaces the network."""
    fake = FakeDaemon()
    monkeypatch.setattr(connection, "send", fake.send)
    monkeypatch.setattr(configuring, "send", fake.send)
    monkeypatch.setattr(configuring, "RETRY_PERIOD_S", 0.0)
    monkeypatch.setattr(configuring, "POLL_PERIOD_S", 0.0)
    return fake


@pytest.fixture
def unreachable():
    """Return the error of a daemon that does not answer."""
    return UnreachableError(f"{SERVER}: no answer (refused)")
