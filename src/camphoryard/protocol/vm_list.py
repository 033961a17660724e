"""Answers of the platform's VM list."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from camphoryard.state.enums import VmState
from camphoryard.state.ids import VmId


@dataclass(frozen=True, slots=True)
class VmForm:
    """One VM in the list."""

    vm: str
    state: VmState


@dataclass(frozen=True, slots=True)
class VmListForm:
    """Answer of ``GET /vms``."""

    vms: list[VmForm]


_LIST = msgspec.json.Decoder(VmListForm)


def decode_vm_list(body: bytes) -> Mapping[VmId, VmState]:
    """Return the VM states by id; raises ``msgspec.MsgspecError``."""
    return {VmId(item.vm): item.state for item in _LIST.decode(body).vms}
