"""Tests of settings that change while the daemon runs."""

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
    """Return a log that keeps its lines."""
    return RecordedLog()


@pytest.fixture
def live(path, log):
    """Return the settings in force."""
    return LiveSettings(path, read_entry_settings(path), read_entry_settings, log)


class TestLook:
    """A look at the file."""

    def test_an_unchanged_file_is_not_read(self, live, log):
        """Nothing is logged."""
        assert not live.look()
        assert log.lines == []

    def test_new_bounds_are_told(self, live, path):
        """Parts that subscribed get all bounds."""
        told = []
        live.subscribe(told.append)
        path.write_text(FILE.format(zone="zone-a", share=0.1))
        assert live.look()
        assert [bounds.repeat_limits for bounds in told] == [RepeatLimits(0.1, 50, 10)]
        assert told[0].load_limits == LoadLimits(5, 1.1)
        assert live.current.bounds is told[0]

    def test_what_cannot_change_waits_for_the_next_start(self, live, path, log):
        """It is named in the log."""
        path.write_text(FILE.format(zone="zone-b", share=0.2))
        live.look()
        assert live.current.zone == "zone-a"
        assert log.lines == [
            ("settings_reloaded", {"changed": "", "needs_restart": "zone"})
        ]

    @pytest.mark.parametrize("text", ["", "zone = ", 'zone = "zone-b"\n'])
    def test_a_bad_file_changes_nothing(self, live, path, log, text):
        """The log says why; a good one that follows counts again."""
        before = live.current
        path.write_text(text)
        live.look()
        assert live.current is before
        assert [event for event, _ in log.lines] == ["settings_rejected"]
        path.write_text(FILE.format(zone="zone-a", share=0.3))
        live.look()
        assert live.current.bounds.repeat_limits.share == 0.3

    def test_a_file_that_is_gone_changes_nothing(self, live, path):
        """It may be on its way back."""
        path.unlink()
        live.look()
        assert live.current.zone == "zone-a"
