"""Tests of reloading settings while the daemon runs."""

import pytest

from camphoryard.coordination.loading.store_rate import LoadLimits
from camphoryard.coordination.routing.retry_window import RepeatLimits
from camphoryard.entry.reloading import LiveSettings
from camphoryard.platform.settings import read_entry_settings
from tests.fakes.engines import RecordedLog

FILE = """\
node-name = "entry-1"
ip = "127.0.0.1"
zone = "{zone}"
inner-port-range = [7380, 7395]
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[bounds]
retry-budget-ratio = {share}
budget-extra = 50
budget-window-s = 10
ceiling-excess = 1.1
[cloud-platform]
address = "127.0.0.1:3"
"""


@pytest.fixture
def path(tmp_path):
    """Return the path of a settings file."""
    path = tmp_path / "node.toml"
    path.write_text(FILE.format(zone="zone-a", share=0.2))
    return path


@pytest.fixture
def log():
    """Return a log that records its lines."""
    return RecordedLog()


@pytest.fixture
def live(path, log):
    """Return live settings read from the file."""
    return LiveSettings(path, read_entry_settings(path), read_entry_settings, log)


class TestReloadIfChanged:
    """Checking the file for changes."""

    def test_an_unchanged_file_is_not_read(self, live, log):
        """An unchanged file is not reloaded and nothing is logged."""
        assert not live.reload_if_changed()
        assert log.lines == []

    def test_subscribers_receive_new_bounds(self, live, path):
        """Subscribers are called with all bounds, not just the changed ones."""
        received = []
        live.subscribe(received.append)
        path.write_text(FILE.format(zone="zone-a", share=0.1))
        assert live.reload_if_changed()
        assert [bounds.repeat_limits for bounds in received] == [
            RepeatLimits(0.1, 50, 10)
        ]
        assert received[0].load_limits == LoadLimits(5, 1.1)
        assert live.current.bounds is received[0]

    def test_other_changes_need_a_restart(self, live, path, log):
        """A changed zone is logged, but does not take effect."""
        path.write_text(FILE.format(zone="zone-b", share=0.2))
        live.reload_if_changed()
        assert live.current.zone == "zone-a"
        assert log.lines == [
            ("settings_reloaded", {"changed": "", "needs_restart": "zone"})
        ]

    @pytest.mark.parametrize("text", ["", "zone = ", 'zone = "zone-b"\n'])
    def test_an_invalid_file_changes_nothing(self, live, path, log, text):
        """The error is logged; a later valid file takes effect."""
        before = live.current
        path.write_text(text)
        live.reload_if_changed()
        assert live.current is before
        assert [event for event, _ in log.lines] == ["settings_rejected"]
        path.write_text(FILE.format(zone="zone-a", share=0.3))
        live.reload_if_changed()
        assert live.current.bounds.repeat_limits.share == 0.3

    def test_a_missing_file_changes_nothing(self, live, path):
        """The file may be missing while it is being replaced."""
        path.unlink()
        live.reload_if_changed()
        assert live.current.zone == "zone-a"
