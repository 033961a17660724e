"""Access of a node to the platform's object API and VM list."""

from collections.abc import Callable
from dataclasses import dataclass

from camphoryard.coordination.ports import Records, VmList
from camphoryard.protocol.platform import (
    CLAIM_CODEC,
    ENDPOINT_RECORD_CODEC,
    HEAD_CODEC,
    JOB_CODEC,
    LEASE_CODEC,
    PART_CODEC,
    REFUSALS_CODEC,
)
from camphoryard.settings import PlatformSettings
from camphoryard.state.claims import Claim
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.endpoint_record import EndpointRecord
from camphoryard.state.ids import StoreEra
from camphoryard.state.jobs import Job
from camphoryard.state.nodes import NodeLease
from camphoryard.state.refusals import RefusalCounts
from camphoryard.transport.http_client import Address, HttpClient
from camphoryard.transport.object_api import ObjectApi, ObjectContents, ObjectRecords
from camphoryard.transport.vm_list import EmptyVmList, HttpVmList


@dataclass(frozen=True, slots=True)
class Platform:
    """Records in the object API, by kind."""

    endpoints: Records[EndpointRecord]
    heads: Records[ConfigurationHead]
    contents: ObjectContents
    leases: Records[NodeLease]
    claims: Records[Claim]
    refusals: Records[RefusalCounts]
    open_jobs: Records[Job]
    finished_jobs: Records[Job]


def make_platform(
    settings: PlatformSettings,
    client: HttpClient,
    on_restored: Callable[[StoreEra], None],
) -> Platform:
    """Return access to the records in the object API that the settings name."""
    address = Address(settings.object_api_host, settings.object_api_port)
    api = ObjectApi(client, address, settings.object_api_token, on_restored)
    return Platform(
        ObjectRecords(api, "endpoints/", ENDPOINT_RECORD_CODEC),
        ObjectRecords(api, "configuration/heads/", HEAD_CODEC),
        ObjectContents(api, "configuration/parts/", PART_CODEC),
        ObjectRecords(api, "nodes/", LEASE_CODEC),
        ObjectRecords(api, "claims/", CLAIM_CODEC),
        ObjectRecords(api, "refusals/", REFUSALS_CODEC),
        ObjectRecords(api, "jobs/open/", JOB_CODEC),
        ObjectRecords(api, "jobs/finished/", JOB_CODEC),
    )


def make_vm_list(settings: PlatformSettings, client: HttpClient) -> VmList:
    """Return access to the VM list, or a stand-in if the settings name none."""
    if not settings.vm_list_port:
        return EmptyVmList()
    return HttpVmList(client, Address(settings.vm_list_host, settings.vm_list_port))
