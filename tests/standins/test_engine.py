"""Tests of the stand-in for a model engine."""

from standins.engine import ActiveRequest, Engine


def fail_write(data):
    """Raise as a write to a disconnected caller does."""
    raise ConnectionResetError


class TestCancelled:
    """Requests whose callers disconnect."""

    def test_each_is_counted_once(self):
        """A write and the connection's reader both report one disconnected caller."""
        engine = Engine(1, True, 0.01, 2, 0.0, 0, 0.0)
        running = ActiveRequest("r1", "m1", "question", 0, 10, 0, 1, write=fail_write)
        engine.batch.append(running)
        engine._step_all()
        engine.cancel(running)
        assert engine.cancelled == 1
        assert engine.batch == []
