"""Client of the platform's VM list."""

from collections.abc import Mapping

import msgspec

from camphoryard.protocol.vm_list import decode_vm_list
from camphoryard.state.enums import VmState
from camphoryard.state.errors import (
    BrokenCallError,
    NotSentError,
    VmListUnavailableError,
)
from camphoryard.state.ids import VmId
from camphoryard.transport.http_client import Address, HttpCall, HttpClient

LIST_TIMEOUT_S = 1.0
OK = 200


class HttpVmList:
    """Reads the VM list at one address over HTTP."""

    def __init__(self, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address

    def states(self) -> Mapping[VmId, VmState]:
        """Return the listed VMs; raises VmListUnavailableError."""
        call = HttpCall("GET", "/vms", timeout_s=LIST_TIMEOUT_S, is_answered_once=True)
        try:
            answer = self._client.call(self._address, call)
            if answer.status != OK:
                raise VmListUnavailableError(f"status {answer.status}")
            return decode_vm_list(answer.body)
        except (
            NotSentError,
            BrokenCallError,
            msgspec.MsgspecError,
            RecursionError,
        ) as error:
            raise VmListUnavailableError(str(error)) from error


class EmptyVmList:
    """Used if the settings name no VM list; lists no VM."""

    def states(self) -> Mapping[VmId, VmState]:
        """Return an empty list."""
        return {}
