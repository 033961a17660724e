"""Tests of failing starts of the daemon, and of its shutdown."""

import socket
import subprocess
import sys
from unittest.mock import Mock, call

import pytest

from camphoryard import daemon
from camphoryard.daemon import EXIT_NOT_BOUND, EXIT_SETTINGS, drain
from standins.fleet import HOST, Fleet, Process, reserve_port


def run_daemon(*arguments):
    """Run the daemon until it exits; return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "camphoryard.daemon", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.fixture
def settings(tmp_path):
    """Return a function that writes a settings file with the given ports."""
    fleet = Fleet(tmp_path)
    object_api = Process("object-api", reserve_port(), None, tmp_path / "none", ())
    fleet.process_by_name["object-api"] = object_api

    def write(http_port, peer_port):
        path = tmp_path / "node.toml"
        path.write_text(fleet.settings("node-1", "zone-a", http_port, peer_port))
        return str(path)

    return write


class TestStart:
    """Starts that fail, and checks without a start."""

    @pytest.mark.parametrize("name", ["http_port", "peer_port"])
    def test_port_in_use(self, settings, name):
        """The daemon exits with an error that names the setting of the port."""
        with socket.create_server((HOST, 0)) as other:
            ports = {"http_port": reserve_port(), "peer_port": reserve_port()}
            ports[name] = other.getsockname()[1]
            completed = run_daemon("--settings", settings(**ports))
        assert completed.returncode == EXIT_NOT_BOUND
        assert f"node.{name}" in completed.stderr
        assert "set another port" in completed.stderr

    def test_check(self, settings):
        """``--check`` validates the settings without starting the daemon."""
        path = settings(reserve_port(), reserve_port())
        assert run_daemon("--settings", path, "--check").returncode == 0
        missing = run_daemon("--settings", f"{path}.none", "--check")
        assert missing.returncode == EXIT_SETTINGS


class TestStop:
    """Graceful shutdown."""

    @pytest.fixture
    def mocks(self, monkeypatch):
        """Return mocks of a node and its server that record all calls."""
        monkeypatch.setattr(daemon, "wait_grace", Mock())
        monkeypatch.setattr(daemon, "close", Mock())
        mocks = Mock()
        mocks.node.shared.timer.every.return_value = range(10)
        return mocks

    def test_counts_are_written_after_the_last_refusal(self, mocks):
        """The intake closes first, so that no later refusal goes uncounted."""
        drain(mocks.node, mocks.server)
        steps = [name for name, _, _ in mocks.mock_calls]
        closed = steps.index("server.stop_accepting")
        assert steps.index("server.wait_flushed", closed) < steps.index(
            "node.refusal_persister.persist_all"
        )
        assert mocks.node.refusal_replicator.transfer.call_args == call(
            mocks.node.refusal_persister.persist_all.return_value
        )

    def test_counts_are_transferred_again_after_failures(self, mocks):
        """The counts would otherwise be lost, as VMs have no persistent storage."""
        mocks.node.refusal_replicator.transfer.side_effect = [False, False, True]
        drain(mocks.node, mocks.server)
        assert mocks.node.refusal_persister.persist_all.call_count == 3

    def test_drain_ends_at_its_limit_if_no_transfer_succeeds(self, mocks, monkeypatch):
        """Retries of the transfer must not prolong the shutdown."""
        monkeypatch.setattr(daemon, "DRAIN_LIMIT_S", 0.0)
        mocks.node.refusal_replicator.transfer.return_value = False
        drain(mocks.node, mocks.server)
        assert mocks.node.refusal_persister.persist_all.call_count == 1
