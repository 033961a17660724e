"""Open-loop load generator for HTTP servers, run in worker processes.

Each worker process sends its share of the requests at their scheduled times, however
slow the responses are, and records the arrival time of each token.
"""

import asyncio
import re
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context

START_DELAY_S = 1.0
TOKEN_MARK = b"data: {"
END_MARK = b"data: [DONE]"
ERROR_MARK = b"event: error"
HEAD_END = b"\r\n\r\n"
CLOSE_MARK = b"connection: close"
LAST_CHUNK = b"0\r\n\r\n"
TEXT = re.compile(rb'"text":"([^"]*)"')


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request, sent ``at_s`` seconds after the start of the load."""

    at_s: float
    port: int
    body: bytes
    token: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    timeout_s: float = 60.0
    path: str = "/v1/completions"


@dataclass(slots=True)
class Outcome:
    """Result of a request; times are in seconds after its scheduled time."""

    status: int = 0
    token_times_s: list[float] = field(default_factory=list)
    is_complete: bool = False
    text: str = ""
    error: bytes = b""


class _Connection(asyncio.Protocol):
    """One connection, which is reused for later requests."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self._started_s = 0.0
        self._outcome = Outcome()
        self._done: asyncio.Future[None] | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    async def exchange(self, arrival: Arrival, started_s: float) -> Outcome:
        """Send the request and return what arrived before its timeout."""
        assert self.transport is not None
        self._started_s = started_s
        self._outcome = outcome = Outcome()
        self._done = asyncio.get_running_loop().create_future()
        self._buffer = b""
        self.transport.write(_encode(arrival))
        remaining_s = started_s + arrival.timeout_s - time.monotonic()
        try:
            await asyncio.wait_for(self._done, max(remaining_s, 0.001))
        except TimeoutError:
            self.transport.abort()
            self.closed = True
        return outcome

    def data_received(self, data: bytes) -> None:
        outcome = self._outcome
        if not outcome.status:
            self._buffer += data
            if HEAD_END not in self._buffer:
                return
            outcome.status = int(self._buffer.split(b" ", 2)[1])
            head, _, data = self._buffer.partition(HEAD_END)
            # A request sent over a connection that is about to close would be lost.
            self.closed = CLOSE_MARK in head.lower()
            self._buffer = b""
        now_s = time.monotonic() - self._started_s
        if outcome.status != 200:
            outcome.error += data
            if data:
                self._finish()
            return
        outcome.token_times_s.extend([now_s] * data.count(TOKEN_MARK))
        self._buffer += data
        if not self._buffer.endswith(LAST_CHUNK):
            return
        body = self._buffer
        before, mark, error = body.partition(ERROR_MARK)
        outcome.error = mark + error
        outcome.is_complete = END_MARK in before and not error
        outcome.text = "".join(
            item.decode() for item in TEXT.findall(before) if outcome.is_complete
        )
        self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._finish()

    def _finish(self) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_result(None)


def _encode(arrival: Arrival) -> bytes:
    head = [
        f"POST {arrival.path} HTTP/1.1",
        "Host: 127.0.0.1",
        "Content-Type: application/json",
        f"Content-Length: {len(arrival.body)}",
    ]
    if arrival.token:
        head.append(f"Authorization: Bearer {arrival.token}")
    head.extend(f"{name}: {value}" for name, value in arrival.headers)
    return "\r\n".join(head).encode() + HEAD_END + arrival.body


class _Player:
    """Sends requests in one event loop and reuses idle connections."""

    def __init__(self) -> None:
        self._idle_by_port: dict[int, list[_Connection]] = {}

    async def play(self, arrivals: Sequence[Arrival], start_s: float) -> list[Outcome]:
        """Return the outcomes in the order of ``arrivals``."""
        tasks = [
            asyncio.create_task(self._run(arrival, start_s + arrival.at_s))
            for arrival in arrivals
        ]
        return list(await asyncio.gather(*tasks))

    async def _run(self, arrival: Arrival, scheduled_s: float) -> Outcome:
        await asyncio.sleep(max(0.0, scheduled_s - time.monotonic()))
        try:
            connection = await self._connection(arrival.port)
        except OSError:
            return Outcome()
        outcome = await connection.exchange(arrival, scheduled_s)
        if not connection.closed:
            self._idle_by_port.setdefault(arrival.port, []).append(connection)
        return outcome

    async def _connection(self, port: int) -> _Connection:
        idle = self._idle_by_port.get(port, [])
        while idle:
            connection = idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(_Connection, "127.0.0.1", port)
        return connection


def _work(arrivals: Sequence[Arrival], start_s: float) -> list[Outcome]:
    return asyncio.run(_Player().play(arrivals, start_s))


def play(
    arrivals: Sequence[Arrival],
    processes: int = 2,
    start_s: float | None = None,
) -> list[Outcome]:
    """Send the requests from several processes and return their outcomes.

    Parameters
    ----------
    arrivals : sequence of Arrival
    processes : int
    start_s : float, optional
        Monotonic time that ``at_s`` counts from; by default START_DELAY_S from now.

    Returns
    -------
    list of Outcome
        In the order of ``arrivals``.
    """
    if start_s is None:
        start_s = time.monotonic() + START_DELAY_S
    outcomes: list[Outcome] = [Outcome()] * len(arrivals)
    context = get_context("spawn")
    with ProcessPoolExecutor(processes, mp_context=context) as executor:
        shares = [arrivals[index::processes] for index in range(processes)]
        tasks = [executor.submit(_work, share, start_s) for share in shares]
        for index, task in enumerate(tasks):
            outcomes[index::processes] = task.result()
    return outcomes
