"""Stand-in for a plain service that records every execution.

Faults: ``lose_answers`` (that many executions close the connection instead of
answering), ``hold`` (answers are withheld until it is cleared), ``status`` (status of
every answer), ``answer_bytes`` (extra bytes in every answer) and ``delay_s`` (delay of
every answer).
"""

import threading
import time
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import typer

from standins.web import Request, Response, drop_connection, json_response, run


@dataclass(slots=True)
class Faults:
    """Faults that ``POST /control`` sets."""

    lose_answers: int = 0
    delay_s: float = 0.0
    hold: bool = False
    status: int = 200
    answer_bytes: int = 0


@dataclass(slots=True)
class Service:
    """Runs operations and records each execution."""

    executions: list[dict[str, Any]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    lock: threading.Condition = field(default_factory=threading.Condition)

    def handle(self, request: Request) -> Response:
        """Run one operation."""
        if request.path == "/control":
            return self._control(request)
        body = request.body.decode(errors="replace")
        execution = {
            "path": request.path,
            "body": body,
            "request_id": request.headers.get("X-Request-Id", ""),
            "at_s": time.time(),
        }
        with self.lock:
            self.executions.append(execution)
            number = len(self.executions)
            loses_answer = self.faults.lose_answers > 0
            self.faults.lose_answers -= loses_answer
            while self.faults.hold:
                self.lock.wait()
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if loses_answer:
            return drop_connection()
        reference = blake2b(f"{number}/{body}".encode(), digest_size=4).hexdigest()
        filler = "x" * self.faults.answer_bytes
        return json_response({"reference": reference + filler}, self.faults.status)

    def _control(self, request: Request) -> Response:
        with self.lock:
            if request.method == "POST":
                for name, value in request.json().items():
                    setattr(self.faults, name, value)
                self.lock.notify_all()
            return json_response({"executions": self.executions})


def main(host: str = "127.0.0.1", port: int = 7200) -> None:
    """Run the service."""
    run(Service().handle, host, port)


if __name__ == "__main__":
    typer.run(main)
