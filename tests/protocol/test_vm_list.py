"""Tests of the VM list's encoding."""

import msgspec
import pytest

from camphoryard.protocol.vm_list import decode_vm_list
from camphoryard.state.enums import VmState


class TestDecodeVmList:
    """Decoding an answer."""

    def test_states_by_vm(self):
        """The answer is decoded to states by VM."""
        body = b'{"vms": [{"vm": "node-1", "state": "leaving"}]}'
        assert decode_vm_list(body) == {"node-1": VmState.LEAVING}

    def test_unknown_state_is_an_error(self):
        """An unknown state raises the codec's error."""
        with pytest.raises(msgspec.MsgspecError):
            decode_vm_list(b'{"vms": [{"vm": "node-1", "state": "odd"}]}')
