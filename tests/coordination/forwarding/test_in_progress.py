"""Tests of the registry of forwarded requests."""

import pytest

from camphoryard.coordination.forwarding.in_progress import InProgress


class TestInProgress:
    """Requests whose tasks have not ended."""

    def test_request_is_registered_until_its_task_ends(self):
        """Equal requests are registered separately."""
        in_progress = InProgress()
        with in_progress.tracked("a"), in_progress.tracked("b"):
            with in_progress.tracked("a"):
                assert in_progress.all() == ("a", "b", "a")
            assert in_progress.all() == ("a", "b")
        assert in_progress.all() == ()

    def test_request_whose_task_fails_is_removed(self):
        """An error of the task passes through."""
        in_progress = InProgress()
        with pytest.raises(ValueError, match="failed"), in_progress.tracked("a"):
            raise ValueError("failed")
        assert in_progress.all() == ()
