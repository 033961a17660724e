"""Conditional writes; a lost answer is resolved by reading the record back."""

from typing import Protocol, TypeVar

from camphoryard.coordination.ports import Records
from camphoryard.state.errors import ConflictError, StoreUnavailableError
from camphoryard.state.ids import Version, WriteId

WRITE_ATTEMPTS = 3


class Identified(Protocol):
    """A record that contains the id of the write that produced it."""

    @property
    def write_id(self) -> WriteId:
        """Unique id of the write."""


IdentifiedT = TypeVar("IdentifiedT", bound=Identified)


def write_resolved(
    records: Records[IdentifiedT], key: str, record: IdentifiedT, version: Version
) -> Version:
    """Write ``record`` if the stored version is still ``version``.

    A lost answer is resolved by a retry: if that conflicts, the stored write id
    tells whether the first attempt took effect.

    Raises
    ------
    ConflictError
        If another write changed the record.
    StoreUnavailableError
        If it remains unknown whether the write took effect.

    Examples
    --------
    >>> version = write_resolved(leases, "node-1", lease, ABSENT)  # doctest: +SKIP
    """
    last_error = StoreUnavailableError(f"{key}: object API did not answer")
    for attempt in range(WRITE_ATTEMPTS):
        try:
            return records.put(key, record, version)
        except StoreUnavailableError as error:
            last_error = error
        except ConflictError:
            if attempt == 0:
                raise
            return _own_version(records, key, record.write_id)
    raise last_error


def _own_version(records: Records[IdentifiedT], key: str, write_id: WriteId) -> Version:
    """Return the version that the write ``write_id`` produced.

    A conflict after a lost answer may be a conflict with our own first attempt.
    """
    stored = records.get(key)
    written = stored.record if stored else None
    if stored is not None and written is not None and written.write_id == write_id:
        return stored.version
    raise ConflictError(f"{key}: another write changed it first")
