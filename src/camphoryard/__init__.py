"""Serving of many bursty models on fewer accelerators, with counts of all refusals."""

from camphoryard.settings import Settings, SettingsError, read_settings
from camphoryard.state.enums import Priority, Reason
from camphoryard.state.errors import CamphoryardError, RefusalError
from camphoryard.state.verdict import Verdict

__all__ = [
    "CamphoryardError",
    "Priority",
    "Reason",
    "RefusalError",
    "Settings",
    "SettingsError",
    "Verdict",
    "read_settings",
]
