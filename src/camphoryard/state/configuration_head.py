"""Which configuration is accepted: the head that names its parts."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from camphoryard.state.ids import Generation, WriteId

KEPT_WRITES = 32


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """The accepted generation and the content id of each of its parts.

    ``recent_writes`` lets an operator whose answer was lost learn that the
    change was accepted although later changes came on top.
    """

    generation: Generation
    write_id: WriteId
    content_by_part: Mapping[str, str] = field(default_factory=dict)
    recent_writes: tuple[WriteId, ...] = ()
