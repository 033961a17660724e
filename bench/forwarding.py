"""Measures the latency that the entry daemon adds to the events of a stream.

Run ``python -m bench.forwarding``. The stand-in engine stamps each event with the
monotonic clock, which all processes of a machine share. Each load is sent twice,
directly to the engine and through the daemon, and both are measured in the same way.
"""

import time
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPConnection
from typing import Annotated
from uuid import uuid4

import typer

from bench.relay import MICROSECONDS_PER_SECOND, QUANTILES, cpu_s, percentiles_ms
from standins.entry_site import TIMEOUT_S, EntrySite
from standins.fleet import HOST, Fleet

EVENTS = 86
"""Events of a long stream in the users' requirements."""
STREAMS = (1, 8, 32)
ROUNDS = 3


@dataclass(slots=True)
class StreamTimes:
    """Times to the first event and lags of all events, in seconds."""

    first_event_s: list[float] = field(default_factory=list)
    lag_s: list[float] = field(default_factory=list)

    def add(self, other: "StreamTimes") -> None:
        """Append the times of another stream."""
        self.first_event_s.extend(other.first_event_s)
        self.lag_s.extend(other.lag_s)


def read_stream(port: int) -> StreamTimes:
    """Request one stream and return the times of its events."""
    connection = HTTPConnection(HOST, port, timeout=TIMEOUT_S)
    headers = {
        "Host": "site.example",
        "Attempt-Id": uuid4().hex,
        "Model": "m1",
        "Deadline-Ms": "15000",
    }
    sent_s = time.monotonic()
    connection.request("POST", "/chat/1", b"question", headers)
    times = _read_events(connection.getresponse(), sent_s)
    connection.close()
    return times


def _read_events(lines: Iterable[bytes], sent_s: float) -> StreamTimes:
    times = StreamTimes()
    for line in lines:
        if not line.startswith(b"data:"):
            continue
        now_s = time.monotonic()
        if not times.first_event_s:
            times.first_event_s.append(now_s - sent_s)
        times.lag_s.append(now_s - float(line.split()[2]))
    return times


def play(port: int, streams: int) -> StreamTimes:
    """Run ``streams`` concurrent streams, in several rounds."""
    times = StreamTimes()
    with ThreadPoolExecutor(streams) as clients:
        for _ in range(ROUNDS):
            for stream_times in clients.map(read_stream, [port] * streams):
                times.add(stream_times)
    return times


def report(site: EntrySite, streams: int) -> None:
    """Send one load directly and through the daemon, and print both results."""
    direct = play(site.store_port, streams)
    before_s = cpu_s(site.process.pid)
    relayed = play(site.client_port, streams)
    used_us = (cpu_s(site.process.pid) - before_s) * MICROSECONDS_PER_SECOND
    for name, times in (("direct", direct), ("relayed", relayed)):
        print(
            f"{streams:3} streams, {name:7}: first event {_in_ms(times.first_event_s)},"
            f" each event {_in_ms(times.lag_s)}"
        )
    print(
        f"    daemon: {used_us / len(relayed.lag_s):.0f} us of processor time per event"
    )


def _in_ms(values_s: Sequence[float]) -> str:
    figures = zip(QUANTILES, percentiles_ms(values_s), strict=True)
    return " ".join(f"p{quantile:.0f} {value:.1f} ms" for quantile, value in figures)


def main(
    events: Annotated[int, typer.Option(help="Events of each stream.")] = EVENTS,
) -> None:
    """Print the added latency for several numbers of concurrent streams."""
    with Fleet() as fleet:
        site = EntrySite(fleet)
        site.control(events=events)
        read_stream(site.client_port)
        for streams in STREAMS:
            report(site, streams)


if __name__ == "__main__":
    typer.run(main)
