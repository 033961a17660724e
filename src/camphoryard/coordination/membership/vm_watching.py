"""Periodic refresh of VM states from the platform's VM list."""

from camphoryard.coordination.ports import Timer, VmList
from camphoryard.state.errors import VmListUnavailableError
from camphoryard.state.vms import VmTable

VM_LIST_PERIOD_S = 1.0


def follow_vms(vm_list: VmList, table: VmTable, timer: Timer) -> None:
    """Refresh ``table`` each period; it is unchanged while the list is unavailable."""
    for _ in timer.every(VM_LIST_PERIOD_S):
        try:
            table.observe(vm_list.states())
        except VmListUnavailableError:
            continue
