"""Tests of the state of engines that a leader keeps."""

from camphoryard.coordination.loading.engine_client import EngineClient
from camphoryard.coordination.loading.engine_table import EngineTable
from camphoryard.coordination.routing.endpoint_notices import EndpointNotices
from camphoryard.coordination.routing.endpoint_room import NoRoom
from camphoryard.platform.engines import PlatformEngines
from camphoryard.state.directory import Directory
from camphoryard.state.ids import EndpointId, FencingNumber, NodeId
from tests.fakes.engines import (
    SERVICE,
    Clock,
    RecordedLog,
    make_endpoint,
    make_rules,
    make_spec,
)


class Lease:
    """A lease that this node holds."""

    term = FencingNumber(1)


class FullRoom:
    """Room at endpoints, of which none is left for reports."""

    def take_report(self, endpoint):
        """Return that there is no room."""
        return NoRoom(3.0)


class TestUnreachable:
    """Engines that another node could not reach."""

    # Guards against models that are loaded again because an engine names a limit.
    def test_an_engine_that_was_not_asked_is_not_unresponsive(self):
        """There is no room for a report, which says nothing about the engine."""
        clock, log = Clock(), RecordedLog()
        directory = Directory(clock)
        directory.adopt(make_rules(spec=make_spec({"m1": 60})))
        directory.observe(make_endpoint("e1"))
        engines = PlatformEngines(
            None, EndpointNotices(directory, log, clock), FullRoom()
        )
        client = EngineClient(NodeId("n1"), Lease(), engines, log, lambda _: None)
        table = EngineTable(directory, client, clock)
        table.check_unreachable([EndpointId("e1")])
        assert [item.endpoint.id for item in table.ready(SERVICE)] == ["e1"]
