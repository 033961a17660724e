"""Tests of starting stand-ins and daemons."""

import socket
from pathlib import Path

import pytest

from standins.fleet import HOST, Fleet, StartError, release_port, reserve_port


class TestReservePort:
    """Reserving ports for processes about to start."""

    def test_reserved_port_cannot_be_bound(self):
        """No other socket can bind a reserved port."""
        port = reserve_port()
        with socket.socket() as other, pytest.raises(OSError):
            other.bind((HOST, port))

    def test_started_process_listens_on_reserved_port(self):
        """A process that sets SO_REUSEADDR can listen on the reserved port."""
        port = reserve_port()
        with socket.socket() as server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            server.bind((HOST, port))
            server.listen()
            with socket.create_connection((HOST, port), timeout=5.0) as connection:
                assert connection.getpeername() == (HOST, port)

    def test_released_port_can_be_bound(self):
        """Another socket can bind a released port."""
        port = reserve_port()
        release_port(port)
        with socket.socket() as other:
            other.bind((HOST, port))


class TestFleet:
    """Waiting for started processes."""

    def test_exited_process_raises_start_error(self):
        """Waiting for a process that has exited raises an error with its last lines."""
        with Fleet() as fleet:
            fleet.start_standin("object-api", "object_api", "--no-such-option")
            with pytest.raises(StartError, match="no-such-option"):
                fleet.wait_ready(["object-api"])


# Guards against: a paused node went on for some milliseconds on a busy machine, and did
# what the test took for impossible.
class TestPause:
    """Pausing a process with several threads."""

    @pytest.fixture
    def fleet(self):
        """Return a fleet with one process that is ready."""
        with Fleet() as fleet:
            fleet.start_standin("object-api", "object_api", "--host", HOST)
            fleet.wait_ready(["object-api"])
            yield fleet

    def test_no_thread_runs_after_pause(self, fleet):
        """All of them are stopped when the call returns, and go on after resume."""
        process = fleet.process_by_name["object-api"]
        process.pause()
        tasks = Path(f"/proc/{process.popen.pid}/task")
        states = [
            (task / "stat").read_text().rpartition(")")[2].split()[0]
            for task in tasks.iterdir()
        ]
        assert set(states) == {"T"}
        process.resume()
        fleet.wait_ready(["object-api"])

    def test_process_that_has_ended_is_not_waited_for(self, fleet):
        """Faults that overlap may have killed it."""
        process = fleet.process_by_name["object-api"]
        process.kill()
        process.pause()
        process.resume()
