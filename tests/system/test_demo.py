"""Tests of the demo over real processes."""

from standins import demo
from standins.fleet import Fleet


class TestDemo:
    """The steps of the demo."""

    def test_every_step_passes(self):
        """Requests of each kind are served from end to end."""
        with Fleet() as fleet:
            demo.run_steps(fleet)
