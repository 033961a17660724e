"""A ledger of engines whose first events come when the test says so."""

from dataclasses import replace
from itertools import count

from camphoryard.coordination.dispatch.engine_ledger import EngineLedger
from camphoryard.state.dispatch import (
    DispatchRequest,
    FirstEventSeen,
    PromptPart,
    RunEnded,
    Work,
)
from camphoryard.state.ids import AccountId, ModelId, PromptPartId, TicketId
from camphoryard.state.traffic import RequestedModel
from tests.fakes.engines import SERVICE, ZONE, Clock, make_endpoint, make_spec

TOKEN_S, FIXED_S = 1 / 20_000, 0.045
OWN_TOKENS, OUTPUT_TOKENS = 1110, 172
GAP_S = 0.3
ALICE, BOB = AccountId("alice"), AccountId("bob")
ENGINE = replace(make_spec({"m": 50}), slots=32, kv_tokens=78_578)
SHARED = PromptPart(PromptPartId("shared"), 350)


class DispatchedService:
    """A ledger whose engines have been read from at a known speed."""

    def __init__(self, *names):
        self.clock = Clock()
        self.ledger = EngineLedger(self.clock)
        self.numbers = count()
        self.endpoints = [
            make_endpoint(name, ["m"], slots=32) for name in names or ["e1"]
        ]
        for endpoint in self.endpoints * 30:
            for tokens in (491, 1110, 3000):
                self.read_alone(endpoint, tokens)

    def request(self, tokens=OWN_TOKENS, parts=(), rank=0, account=ALICE):
        """Return a request with a prompt part that no other one shares."""
        ticket = TicketId(str(next(self.numbers)))
        parts = (*parts, PromptPart(PromptPartId(ticket), tokens))
        work = Work(sum(part.tokens for part in parts), OUTPUT_TOKENS, parts)
        limits = (0.5, 15.0, GAP_S)
        item = RequestedModel(ModelId("m"))
        return DispatchRequest(
            ticket, SERVICE, item, work, rank, *limits, ZONE, account
        )

    def send(self, endpoint=None, **fields):
        """Dispatch a request now, by default to the first engine; return it."""
        request = self.request(**fields)
        self.ledger.dispatched(endpoint or self.endpoints[0], ENGINE, request)
        return request

    def see(self, request, after_s, endpoint=None):
        """Record the first event of a request."""
        id = (endpoint or self.endpoints[0]).id
        self.ledger.record(FirstEventSeen(request.ticket, id, after_s))

    def end(self, request, endpoint=None, was_declined=False):
        """Record the end of a request."""
        id = (endpoint or self.endpoints[0]).id
        self.ledger.record(RunEnded(request.ticket, id, was_declined))

    def read_alone(self, endpoint=None, tokens=OWN_TOKENS, slowness=1.0):
        """Run a request to its end with nothing beside it."""
        request = self.send(endpoint, tokens=tokens)
        after_s = slowness * (FIXED_S + tokens * TOKEN_S)
        self.clock.advance(after_s)
        self.see(request, after_s, endpoint)
        self.end(request, endpoint)
        self.clock.advance(0.1)

    def stream(self):
        """Have a stream run at an engine that reads nothing else."""
        request = self.send(tokens=10)
        self.clock.advance(0.1)
        self.see(request, FIXED_S)
        self.clock.advance(0.1)

    def outlook(self, endpoint=None, **fields):
        """Return what a further request would meet."""
        request = self.request(**fields)
        return self.ledger.outlook(endpoint or self.endpoints[0], ENGINE, request)
