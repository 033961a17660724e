"""Tests of the stand-in of a model engine."""

from standins.engine import ActiveRequest, Engine


def gone(data):
    """Write to a caller that has left."""
    raise ConnectionResetError


class TestCancelled:
    """Requests whose callers leave."""

    def test_each_is_counted_once(self):
        """Whether a write or the reader of its connection meets the end first."""
        engine = Engine(1, True, 0.01, 2, 0.0, 0, 0.0)
        running = ActiveRequest("r1", "m1", "question", 0, 10, 0, 1, write=gone)
        engine.batch.append(running)
        engine._step_all()
        engine.cancel(running)
        assert engine.cancelled == 1
        assert engine.batch == []
