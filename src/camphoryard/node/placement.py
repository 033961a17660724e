"""Construction of the placer, which plans which items are loaded where."""

from camphoryard.coordination.placement.placer import Placer, PlacerContext
from camphoryard.node.policies import make_placement_policy
from camphoryard.node.residency import Residency
from camphoryard.node.serving import Serving
from camphoryard.node.shared import SharedContext
from camphoryard.state.ids import EndpointId


def make_placer(
    shared: SharedContext, residency: Residency, serving: Serving
) -> Placer:
    """Return the placer."""
    decisions = shared.settings.decisions

    def slots(endpoint: EndpointId) -> int:
        report = shared.estimates.report(endpoint)
        return (report.slots if report else 0) or decisions.engine_slots

    def accepts_work(endpoint: EndpointId) -> bool:
        leaving = serving.leaving.is_leaving(endpoint)
        return not leaving and not shared.estimates.is_unresponsive(endpoint)

    return Placer(
        PlacerContext(
            make_placement_policy(decisions),
            shared.identity.node,
            shared.nodes,
            shared.peers,
            shared.configuration,
            shared.endpoint_table,
            shared.system_demand,
            shared.budget,
            slots,
            accepts_work,
            residency.owner.start_move,
            shared.executors.loads,
            shared.timeline,
        )
    )
