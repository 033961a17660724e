"""Builders of requests that wait for an engine, and a site with a few engines."""

import random
from dataclasses import replace
from itertools import count

from camphoryard.coordination.dispatch.dispatch_queue import DispatchQueue
from camphoryard.coordination.dispatch.engine_ledger import EngineLedger
from camphoryard.state.directory import Directory
from camphoryard.state.dispatch import (
    Dispatched,
    DispatchRequest,
    FirstEventSeen,
    Rejected,
    RunEnded,
    Work,
)
from camphoryard.state.ids import ModelId
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import (
    SERVICE,
    ZONE,
    Clock,
    make_endpoint,
    make_rules,
    make_spec,
)

URGENT, BATCH = 0, 2
NUMBERS = count()


def make_request(rank=URGENT, tokens=10, **fields):
    """Return a request for model ``m`` that reads next to nothing."""
    values = {
        "ticket": f"t{next(NUMBERS)}",
        "objective_left_s": 5.0 if rank == BATCH else 0.5,
        "leave_left_s": 20.0 if rank == BATCH else 2.0,
        **fields,
    }
    return DispatchRequest(
        values.pop("ticket"),
        SERVICE,
        RequestedModel(ModelId("m")),
        Work(tokens, values.pop("output_tokens", 100)),
        rank,
        values.pop("objective_left_s"),
        values.pop("leave_left_s"),
        values.pop("longest_gap_s", 0.3),
        ZONE,
        **values,
    )


class Engines:
    """Engines of one model with ``slots`` places each, and the queue before them."""

    def __init__(self, *names, slots=2, kv_tokens=100_000):
        self.clock = Clock()
        self.directory = Directory(self.clock)
        spec = replace(make_spec({"m": 10}), slots=slots, kv_tokens=kv_tokens)
        self.directory.adopt(make_rules(spec))
        self.list(*(make_endpoint(name, ["m"], slots=slots) for name in names))
        self.ledger = EngineLedger(self.clock)
        self.in_flight = {}
        self.queue = DispatchQueue(
            self.ledger,
            self.directory,
            lambda endpoint: self.in_flight.get(endpoint, 0.0),
            self.clock,
            random.Random(1),
        )
        self.runs = []

    def list(self, *endpoints):
        """Replace the listed endpoints."""
        self.directory.replace_all(endpoints, False)

    def ask(self, *requests):
        """Let requests ask, and return the decisions about all that wait."""
        for request in requests:
            self.queue.enter(request)
        decisions = self.queue.decide()
        for decision in decisions:
            if isinstance(decision.answer, Dispatched):
                self.runs.append((decision.request.ticket, decision.answer.endpoint))
        return decisions

    def fill(self, rank=URGENT, **fields):
        """Let requests run until no place is free; return the number that run."""
        while self.gone(self.ask(request := make_request(rank, **fields))):
            self.clock.advance(0.2)
            self.ledger.record(FirstEventSeen(*self.runs[-1], 0.1))
        self.queue.withdraw(request.ticket)
        return len(self.runs)

    def end_one(self):
        """End the oldest run."""
        ticket, endpoint = self.runs.pop(0)
        self.ledger.record(RunEnded(ticket, endpoint))

    def gone(self, decisions):
        """Return the tickets of those that were dispatched."""
        return [
            item.request.ticket
            for item in decisions
            if isinstance(item.answer, Dispatched)
        ]

    def refused(self, decisions):
        """Return the answers to those that were refused."""
        return [item.answer for item in decisions if isinstance(item.answer, Rejected)]
