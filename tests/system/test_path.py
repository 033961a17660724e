"""Tests of the whole path over real processes."""

from standins import demo
from standins.fleet import Fleet


class TestPath:
    """The demo's steps."""

    def test_every_step_holds(self):
        """One request of each kind is served from end to end."""
        with Fleet() as fleet:
            demo.run_steps(fleet)
