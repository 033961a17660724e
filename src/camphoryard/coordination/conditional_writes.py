"""Conditional writes whose lost answers are resolved by reading back."""

from typing import Protocol, TypeVar

from camphoryard.coordination.ports import Records
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import Version, WriteId

WRITE_ATTEMPTS = 3


class Identified(Protocol):
    """A record that names the write which produced it."""

    @property
    def write_id(self) -> WriteId:
        """Id that no other write carries."""


IdentifiedT = TypeVar("IdentifiedT", bound=Identified)


def write_resolved(
    records: Records[IdentifiedT], key: str, record: IdentifiedT, version: Version
) -> Version:
    """Write conditionally; when the answer is lost, look for our own write id.

    Raises
    ------
    ConflictError
        If the write lost.
    StoreUnavailableError
        If it is still unknown whether the write took effect.

    Examples
    --------
    >>> version = write_resolved(leases, "node-1", lease, ABSENT)  # doctest: +SKIP
    """
    lost = StoreUnavailableError(f"{key}: no answer")
    for attempt in range(WRITE_ATTEMPTS):
        try:
            return records.put(key, record, version)
        except StoreUnavailableError as error:
            lost = error
        except ConflictError:
            if attempt == 0:
                raise
            return _own_version(records, key, record.write_id)
    raise lost


def _own_version(records: Records[IdentifiedT], key: str, write_id: WriteId) -> Version:
    """Return the version that ``write_id`` made.

    A conflict after a lost answer may be a conflict with our own first try.
    """
    stored = records.get(key)
    written = stored.record if stored else None
    if stored is not None and written is not None and written.write_id == write_id:
        return stored.version
    raise ConflictError(f"{key}: another write won")
