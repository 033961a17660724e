"""Construction of the request gateway and of the decisions about each request."""

import functools
from dataclasses import dataclass

from camphoryard.coordination.actions.actions import ActionContext
from camphoryard.coordination.actions.claim_finalizer import ClaimFinalizer
from camphoryard.coordination.actions.claiming import (
    ClaimContext,
    write_claims_again,
)
from camphoryard.coordination.admission.admission import Admission
from camphoryard.coordination.admission.concurrency_limits import ConcurrencyLimits
from camphoryard.coordination.inference.inference_context import InferenceContext
from camphoryard.coordination.inference.request_gateway import (
    RequestGateway,
    ServingContext,
)
from camphoryard.coordination.inference.suspects import Suspects
from camphoryard.coordination.routing.breakers import Breakers
from camphoryard.coordination.routing.leaving_endpoints import (
    GuardedServices,
    LeavingEndpoints,
)
from camphoryard.coordination.routing.retry_budget import RetryBudget, RetryLimits
from camphoryard.coordination.routing.routing import Router
from camphoryard.node.platform import Platform
from camphoryard.node.policies import make_admission_policy, make_routing_policy
from camphoryard.node.residency import Residency
from camphoryard.node.shared import SharedContext
from camphoryard.transport.endpoints import HttpServices


@dataclass(frozen=True, slots=True)
class Serving:
    """The request gateway and the components that decide about each request."""

    admission: Admission
    suspects: Suspects
    inference: InferenceContext
    actions: ActionContext
    leaving: LeavingEndpoints
    gateway: RequestGateway


def make_serving(
    shared: SharedContext,
    platform: Platform,
    residency: Residency,
    claim_finalizer: ClaimFinalizer,
) -> Serving:
    """Return the request gateway with the components behind it."""
    decisions = shared.settings.decisions
    router = Router(make_routing_policy(decisions), shared.estimates.load)
    admission = Admission(
        make_admission_policy(decisions),
        decisions.engine_slots,
        router,
        shared.estimates,
        shared.in_flight,
    )
    shared.endpoint_table.subscribe(admission.wake)
    leaving = LeavingEndpoints(shared.configuration, shared.estimates, shared.vms)
    suspects = Suspects(
        shared.identity.node,
        shared.nodes,
        shared.peers,
        shared.timeline,
        must_sync=True,
    )
    inference = InferenceContext(
        shared.configuration,
        shared.endpoint_table,
        ConcurrencyLimits(shared.nodes),
        admission,
        Breakers(),
        leaving,
        RetryBudget(RetryLimits(decisions.retry_share)),
        suspects,
        residency.client,
        shared.demand,
        shared.engines,
        shared.timeline,
    )
    claiming = ClaimContext(
        shared.identity.incarnation,
        platform.claims,
        claim_finalizer,
        shared.nodes,
        shared.timer,
        shared.timeline,
        shared.restores,
    )
    shared.restores.subscribe(functools.partial(write_claims_again, claiming))
    actions = ActionContext(
        shared.configuration,
        claiming,
        shared.in_flight,
        router,
        GuardedServices(
            HttpServices(shared.client, shared.settings.serving.max_answer_bytes),
            leaving,
        ),
    )
    gateway = RequestGateway(
        ServingContext(
            inference,
            actions,
            shared.configuration,
            shared.refusals,
            shared.timeline,
            shared.metrics.observe,
            shared.settings.serving.max_answer_bytes,
        )
    )
    return Serving(admission, suspects, inference, actions, leaving, gateway)
