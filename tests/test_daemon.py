"""Tests of the daemon's starts that fail, and of its stop."""

import socket
import subprocess
import sys
from unittest.mock import Mock, call

import pytest

from camphoryard import daemon
from camphoryard.daemon import EXIT_NOT_BOUND, EXIT_SETTINGS, drain
from standins.fleet import HOST, Fleet, Process, reserve_port


def run_daemon(*arguments):
    """Run the daemon until it ends."""
    return subprocess.run(
        [sys.executable, "-m", "camphoryard.daemon", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.fixture
def settings(tmp_path):
    """Return a function that writes settings with these ports."""
    fleet = Fleet(tmp_path)
    nobody = Process("object-api", reserve_port(), None, tmp_path / "none", ())
    fleet.process_by_name["object-api"] = nobody

    def write(http_port, peer_port):
        path = tmp_path / "node.toml"
        path.write_text(fleet.settings("node-1", "zone-a", http_port, peer_port))
        return str(path)

    return write


class TestStart:
    """Starts that cannot go on."""

    @pytest.mark.parametrize("name", ["http_port", "peer_port"])
    def test_port_in_use(self, settings, name):
        """A port that another process has ends the start, naming the setting."""
        with socket.create_server((HOST, 0)) as other:
            ports = {"http_port": reserve_port(), "peer_port": reserve_port()}
            ports[name] = other.getsockname()[1]
            done = run_daemon("--settings", settings(**ports))
        assert done.returncode == EXIT_NOT_BOUND
        assert f"node.{name}" in done.stderr
        assert "set another port" in done.stderr

    def test_check(self, settings):
        """Settings can be checked without a start."""
        path = settings(reserve_port(), reserve_port())
        assert run_daemon("--settings", path, "--check").returncode == 0
        missing = run_daemon("--settings", f"{path}.none", "--check")
        assert missing.returncode == EXIT_SETTINGS


class TestStop:
    """A stop by plan."""

    @pytest.fixture
    def parts(self, monkeypatch):
        """Return a node and its server, of which all calls are kept."""
        monkeypatch.setattr(daemon, "wait_grace", Mock())
        monkeypatch.setattr(daemon, "close", Mock())
        parts = Mock()
        parts.node.shared.timer.every.return_value = range(10)
        return parts

    def test_counts_are_written_after_the_last_refusal(self, parts):
        """The intake closes first, so that no refusal comes after them."""
        drain(parts.node, parts.server)
        steps = [name for name, _, _ in parts.mock_calls]
        closed = steps.index("server.close_intake")
        assert steps.index("server.wait_flushed", closed) < steps.index(
            "node.refusal_folder.fold_all"
        )
        assert parts.node.refusal_handover.transfer.call_args == call(
            parts.node.refusal_folder.fold_all.return_value
        )

    def test_a_node_that_reaches_nobody_goes_on_trying(self, parts):
        """Its counts would be lost: VMs keep nothing."""
        parts.node.refusal_handover.transfer.side_effect = [False, False, True]
        drain(parts.node, parts.server)
        assert parts.node.refusal_folder.fold_all.call_count == 3

    def test_a_stop_ends_though_nobody_is_ever_reached(self, parts, monkeypatch):
        """It lasts no longer than any stop may."""
        monkeypatch.setattr(daemon, "DRAIN_LIMIT_S", 0.0)
        parts.node.refusal_handover.transfer.return_value = False
        drain(parts.node, parts.server)
        assert parts.node.refusal_folder.fold_all.call_count == 1
