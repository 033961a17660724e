"""Tests of the engine part of a replica."""

import pytest

from standins.replica_engine import ACCEPTED, CONFLICT, FENCED, ReplicaEngine


def order(model, fence=1, expected=0, opcode="load"):
    """Return the body of an order."""
    return {
        "opcode": opcode,
        "model": model,
        "expected": expected,
        "holder": "n1",
        "fence-token": fence,
    }


@pytest.fixture
def engine():
    """Return an engine that has loaded one model under fence 2."""
    engine = ReplicaEngine()
    assert engine.order(order("m1", fence=2)) == ACCEPTED
    return engine


class TestReplicaEngine:
    """Orders that are carried out or refused."""

    def test_report_names_models_and_number_of_orders(self, engine):
        """A report shows what the orders have changed."""
        assert engine.order(order("m2", fence=2, expected=1)) == ACCEPTED
        unload = order("m1", fence=2, expected=2, opcode="unload")
        assert engine.order(unload) == ACCEPTED
        models = [{"name": "m2", "version": 1}]
        assert engine.report() == {"models": models, "busy": False, "seq": 3}

    def test_lower_fence_is_refused(self, engine):
        """An order of an earlier term changes nothing."""
        assert engine.order(order("m2", fence=1, expected=1)) == FENCED
        assert engine.report()["seq"] == 1

    def test_wrong_number_is_refused_but_its_fence_counts(self, engine):
        """An order that is not the next one changes only the highest fence."""
        assert engine.order(order("m2", fence=3, expected=0)) == CONFLICT
        assert engine.report()["seq"] == 1
        assert engine.order(order("m2", fence=2, expected=1)) == FENCED
