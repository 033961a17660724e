"""HTTP front end for operators."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from camphoryard.coordination.configuration.configurator import (
    ChangeResult,
    Configurator,
)
from camphoryard.coordination.configuration.timeline_merging import MergedTimeline
from camphoryard.coordination.observing.explanation import Explanation
from camphoryard.coordination.observing.status import Status
from camphoryard.protocol.configuration import decode_change, encode_configuration
from camphoryard.protocol.operator import (
    encode_accepted,
    encode_explanation,
    encode_timeline,
)
from camphoryard.protocol.status import (
    encode_refusals,
    encode_status,
)
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError, StoreUnavailableError
from camphoryard.state.ids import CallerId
from camphoryard.state.refusals import RefusalKey
from camphoryard.state.tables import ConfigurationHolder
from camphoryard.transport.http_server import HttpRequest, HttpResponse

HOURS = "hours"
MAX_HOURS = 48
ADMIN_PREFIX = "/admin/v1/"
DRY_RUN = "dry_run"
DESPITE_UNHEARD = "despite_unheard"


@dataclass(frozen=True, slots=True)
class OperatorContext:
    """What the operators' front end works with."""

    configurator: Configurator
    configuration: ConfigurationHolder
    timeline: Callable[[Mapping[str, str]], MergedTimeline]
    explain: Callable[[CallerId, str], Explanation]
    status: Callable[[], Status]
    drain: Callable[[], None]
    refusals: Callable[[int], Mapping[RefusalKey, int]]


def administer(parts: OperatorContext, request: HttpRequest) -> HttpResponse:
    """Answer an operator's request; raises RefusalError."""
    match (request.method, request.path.removeprefix(ADMIN_PREFIX)):
        case ("GET", "configuration"):
            return _json(encode_configuration(parts.configuration.current))
        case ("POST", "configuration"):
            return _json(encode_accepted(_apply(parts.configurator, request)))
        case ("GET", "status"):
            return _json(encode_status(parts.status()))
        case ("GET", "refusals"):
            return _json(encode_refusals(_refusals(parts, request)))
        case ("GET", "timeline"):
            return _json(encode_timeline(parts.timeline(request.query)))
        case ("GET", "explain"):
            caller = CallerId(_required(request, "caller"))
            explanation = parts.explain(caller, _required(request, "target"))
            return _json(encode_explanation(explanation))
        case ("POST", "drain"):
            parts.drain()
            return _json(b"{}")
        case (method, path):
            raise RefusalError(Reason.NOT_FOUND, f"no operation {method} {path}")


def _apply(configurator: Configurator, request: HttpRequest) -> ChangeResult:
    change = decode_change(request.body)
    if request.query.get(DRY_RUN) == "true":
        return configurator.preview(change)
    despite_unheard = request.query.get(DESPITE_UNHEARD) == "true"
    return configurator.accept(change, despite_unheard)


def _required(request: HttpRequest, name: str) -> str:
    value = request.query.get(name, "")
    if not value:
        raise RefusalError(Reason.BAD_FIELD, f"give {name} in the query", field=name)
    return value


def _refusals(parts: OperatorContext, request: HttpRequest) -> Mapping[RefusalKey, int]:
    text = request.query.get(HOURS, "1")
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= MAX_HOURS:
        raise RefusalError(Reason.BAD_FIELD, f"must be 1 to {MAX_HOURS}", field=HOURS)
    try:
        return parts.refusals(int(text))
    except StoreUnavailableError as error:
        raise RefusalError(
            Reason.STORE_UNAVAILABLE,
            "the counts could not be read; `status` has this node's",
        ) from error


def _json(body: bytes) -> HttpResponse:
    return HttpResponse(200, body)
