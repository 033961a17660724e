"""Tests of measuring the latency added by the entry daemon."""

import time

import pytest

from bench.forwarding import _read_events, play
from standins.entry_site import EntrySite
from standins.fleet import Fleet


class TestReadEvents:
    """Reading one stream."""

    def test_first_event_and_lags_are_measured(self):
        """Lags count from the stamps, the first event from the sending."""
        now_s = time.monotonic()
        lines = [b"id: 1\n", b"data: 1 %f\n" % now_s, b"\n", b"data: 2 %f\n" % now_s]
        times = _read_events(lines, now_s - 1.0)
        assert times.first_event_s == [pytest.approx(1.0, abs=0.5)]
        assert times.lag_s == [pytest.approx(0.0, abs=0.5)] * 2


class TestPlay:
    """Sending a load through a daemon."""

    def test_all_events_of_all_streams_are_recorded(self):
        """Several concurrent streams in several rounds."""
        with Fleet() as fleet:
            site = EntrySite(fleet)
            times = play(site.client_port, 2)
        assert len(times.first_event_s) == 6
        assert len(times.lag_s) == 60
