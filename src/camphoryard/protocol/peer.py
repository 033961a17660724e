"""Messages between nodes as MessagePack frames."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import Enum

import msgspec

from camphoryard.coordination.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    CrashReport,
    Declined,
    DigestRequest,
    DigestWithAge,
    Done,
    EventsReply,
    EventsRequest,
    Gossip,
    GossipAnswer,
    ItemLoaded,
    ItemLoading,
    ItemRequest,
    ItemsUsed,
    JoinReply,
    JoinRequest,
    LoadGrant,
    LoadGrantRequest,
    LoadItemsRequest,
    Message,
    MoveItemsRequest,
    QuotaGrant,
    QuotaRequest,
    QuotaTake,
    RecordsReply,
    RecordsRequest,
    RefusalCountsCopy,
    RelinquishReply,
    RelinquishRequest,
    Reply,
    TrialEnded,
    TrialRequest,
    ZoneLiveness,
)
from camphoryard.protocol.configuration import (
    decode_configuration,
    encode_configuration,
)
from camphoryard.protocol.relay_form import RelayForm, read_relay, relay_form
from camphoryard.state.configuration_head import ConfigurationHead
from camphoryard.state.demand import ItemDemand
from camphoryard.state.dispatch import (
    Dispatched,
    DispatchRequest,
    FirstEventSeen,
    NotDispatched,
    PromptPart,
    Queued,
    Rejected,
    RunEnded,
    Withdrawn,
    Work,
)
from camphoryard.state.endpoint_limits import EndpointLimit
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import CamphoryardError
from camphoryard.state.ids import (
    AccountId,
    AdapterId,
    EndpointId,
    FencingNumber,
    Fingerprint,
    Generation,
    Incarnation,
    ItemId,
    LimitedId,
    ModelId,
    NodeId,
    ObjectKey,
    PromptPartId,
    RequestId,
    Revision,
    ServiceId,
    TicketId,
    Version,
    Zone,
)
from camphoryard.state.load_reports import LoadReport
from camphoryard.state.nodes import NodeDigest
from camphoryard.state.quotas import QuotaKind, QuotaRenewal, QuotaReport
from camphoryard.state.traffic import RequestedModel

MILLISECONDS_PER_SECOND = 1000
PART_SEPARATOR = ","
"""Separates the parts of a set. Their ids come from a list with the same separator."""
THOUSANDTHS_PER_SLOT = 1000


class PeerMessageError(CamphoryardError):
    """A frame from a peer could not be decoded."""


class FrameKind(Enum):
    """Type of the message in a frame's body."""

    GOSSIP = "gossip"
    GOSSIP_ANSWER = "gossip_answer"
    JOIN_WANTED = "join_wanted"
    JOINED = "joined"
    CONFIGURATION_WANTED = "configuration_wanted"
    CONFIGURATION_OFFER = "configuration_offer"
    RECORDS_WANTED = "records_wanted"
    RECORDS_FOUND = "records_found"
    EVENTS_WANTED = "events_wanted"
    EVENTS_FOUND = "events_found"
    LOAD_WANTED = "load_wanted"
    MOVE_WANTED = "move_wanted"
    GRANT_WANTED = "grant_wanted"
    GRANTED = "granted"
    ITEMS_USED = "items_used"
    GIVE_UP = "give_up"
    GIVEN_UP = "given_up"
    DIGEST_WANTED = "digest_wanted"
    CRASH_SEEN = "crash_seen"
    TRIAL_WANTED = "trial_wanted"
    TRIAL_ENDED = "trial_ended"
    REFUSALS_COUNTED = "refusals_counted"
    ITEM_WANTED = "item_wanted"
    ITEM_HELD = "item_held"
    ITEM_COMING = "item_coming"
    QUOTA_WANTED = "quota_wanted"
    QUOTA_GRANTED = "quota_granted"
    QUOTA_TAKE = "quota_take"
    TURN_WANTED = "turn_wanted"
    TURN = "turn"
    TURN_QUEUED = "turn_queued"
    TURN_REJECTED = "turn_rejected"
    TURN_NOT_GIVEN = "turn_not_given"
    TURN_WITHDRAWN = "turn_withdrawn"
    FIRST_EVENT_SEEN = "first_event_seen"
    RUN_ENDED = "run_ended"
    DONE = "done"
    DECLINED = "declined"
    NODE_DIGEST = "node_digest"


@dataclass(frozen=True, slots=True)
class _OfferForm:
    """A configuration offer; parts are in the JSON form stored in the object API."""

    head: ConfigurationHead
    part_by_key: Mapping[ObjectKey, bytes]


class _QuotaReportForm(msgspec.Struct, array_like=True, frozen=True):
    term: FencingNumber
    settled: int
    parts_by_id: Mapping[LimitedId, int]


class _QuotaRenewalForm(msgspec.Struct, array_like=True, frozen=True):
    beat: int
    scarce: tuple[LimitedId, ...]
    backups: tuple[NodeId, ...]


class _QuotaRequestForm(
    msgspec.Struct, frozen=True, rename={"parts_by_id": "parts_by_account"}
):
    """A request for parts, with the names that earlier versions read."""

    node: NodeId
    incarnation: Incarnation
    term: FencingNumber
    number: int
    parts_by_id: Mapping[LimitedId, int]
    is_spare: bool = False
    kind: QuotaKind = QuotaKind.ACCOUNT


class _QuotaGrantForm(
    msgspec.Struct, frozen=True, rename={"parts_by_id": "parts_by_account"}
):
    term: FencingNumber
    parts_by_id: Mapping[LimitedId, int]


class _QuotaTakeForm(msgspec.Struct, frozen=True, rename={"id": "account"}):
    id: LimitedId
    units: float
    kind: QuotaKind = QuotaKind.ACCOUNT


class _DigestForm(msgspec.Struct, array_like=True, frozen=True):
    """A digest without field names, which would be most of its bytes.

    New fields are added at the end, so that nodes of two versions understand each
    other; those of ``quota_report`` and ``quota_renewal`` are of accounts.
    """

    node: NodeId
    incarnation: Incarnation
    state: NodeState
    generation: Generation
    in_flight_by_endpoint: Mapping[EndpointId, int]
    report_by_endpoint: Mapping[EndpointId, LoadReport]
    beat: int
    demand_by_item: Mapping[ItemId, tuple[int, int]]
    age_ms: int | None
    duty_term: FencingNumber = FencingNumber(0)
    unloads_by_endpoint: Mapping[EndpointId, tuple[ModelId, ...]] = {}
    quarantine_ms_by_parts: Mapping[str, int] = {}
    leaving_by_endpoint: Mapping[EndpointId, int] = {}
    quota_report: _QuotaReportForm | None = None
    quota_renewal: _QuotaRenewalForm | None = None
    endpoints_revision: Revision = Revision(0)
    relay: RelayForm | None = None
    rules_version: Version = Version(0)
    limit_by_endpoint: Mapping[EndpointId, EndpointLimit] = {}
    limit_report: _QuotaReportForm | None = None
    limit_renewal: _QuotaRenewalForm | None = None
    quarantine_ms_by_request: Mapping[Fingerprint, int] = {}


class _DispatchForm(msgspec.Struct, array_like=True, frozen=True):
    """A request that asks for its turn, without field names; one for each request."""

    ticket: TicketId
    service: ServiceId
    model: ModelId
    adapter: AdapterId | None
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[PromptPartId, int], ...]
    rank: int
    objective_left_ms: int
    leave_left_ms: int
    longest_gap_ms: int
    zone: Zone
    account: AccountId | None
    has_begun: bool
    excluded: tuple[EndpointId, ...]
    candidates: tuple[EndpointId, ...]
    has_returned: bool
    node: NodeId | None


class _ZoneLivenessForm(msgspec.Struct, array_like=True, frozen=True):
    zone: Zone
    starts: int
    steps: bytes


class _GossipForm(msgspec.Struct, array_like=True, frozen=True):
    round: int
    digests: tuple[_DigestForm, ...]
    store_age_ms: int | None = None
    words: tuple[_ZoneLivenessForm, ...] = ()


_TYPE_BY_KIND: dict[FrameKind, type[Message] | type[Reply]] = {
    FrameKind.GOSSIP: Gossip,
    FrameKind.GOSSIP_ANSWER: GossipAnswer,
    FrameKind.JOIN_WANTED: JoinRequest,
    FrameKind.JOINED: JoinReply,
    FrameKind.CONFIGURATION_WANTED: ConfigurationRequest,
    FrameKind.CONFIGURATION_OFFER: ConfigurationOffer,
    FrameKind.RECORDS_WANTED: RecordsRequest,
    FrameKind.RECORDS_FOUND: RecordsReply,
    FrameKind.EVENTS_WANTED: EventsRequest,
    FrameKind.EVENTS_FOUND: EventsReply,
    FrameKind.LOAD_WANTED: LoadItemsRequest,
    FrameKind.MOVE_WANTED: MoveItemsRequest,
    FrameKind.GRANT_WANTED: LoadGrantRequest,
    FrameKind.GRANTED: LoadGrant,
    FrameKind.ITEMS_USED: ItemsUsed,
    FrameKind.GIVE_UP: RelinquishRequest,
    FrameKind.GIVEN_UP: RelinquishReply,
    FrameKind.DIGEST_WANTED: DigestRequest,
    FrameKind.CRASH_SEEN: CrashReport,
    FrameKind.TRIAL_WANTED: TrialRequest,
    FrameKind.TRIAL_ENDED: TrialEnded,
    FrameKind.REFUSALS_COUNTED: RefusalCountsCopy,
    FrameKind.ITEM_WANTED: ItemRequest,
    FrameKind.ITEM_HELD: ItemLoaded,
    FrameKind.ITEM_COMING: ItemLoading,
    FrameKind.QUOTA_WANTED: QuotaRequest,
    FrameKind.QUOTA_GRANTED: QuotaGrant,
    FrameKind.QUOTA_TAKE: QuotaTake,
    FrameKind.TURN_WANTED: DispatchRequest,
    FrameKind.TURN: Dispatched,
    FrameKind.TURN_QUEUED: Queued,
    FrameKind.TURN_REJECTED: Rejected,
    FrameKind.TURN_NOT_GIVEN: NotDispatched,
    FrameKind.TURN_WITHDRAWN: Withdrawn,
    FrameKind.FIRST_EVENT_SEEN: FirstEventSeen,
    FrameKind.RUN_ENDED: RunEnded,
    FrameKind.DONE: Done,
    FrameKind.DECLINED: Declined,
    FrameKind.NODE_DIGEST: NodeDigest,
}
_KIND_BY_TYPE = {item: kind for kind, item in _TYPE_BY_KIND.items()}
_QUOTA_FORM_BY_TYPE: dict[type, type[msgspec.Struct]] = {
    QuotaRequest: _QuotaRequestForm,
    QuotaGrant: _QuotaGrantForm,
    QuotaTake: _QuotaTakeForm,
}


@dataclass(frozen=True, slots=True)
class Frame:
    """One message on the wire; ``id`` is empty if no reply is expected."""

    id: RequestId
    kind: FrameKind
    body: msgspec.Raw


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message or reply, with the id that both share."""

    id: RequestId
    content: Message | Reply


_FRAME = msgspec.msgpack.Decoder(Frame)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the frame's bytes."""
    kind = _KIND_BY_TYPE[type(envelope.content)]
    body = msgspec.Raw(_encode_content(envelope.content))
    return msgspec.msgpack.encode(Frame(envelope.id, kind, body))


def decode_envelope(data: bytes) -> Envelope:
    """Return the message in a frame.

    Raises
    ------
    PeerMessageError
        If the bytes are not a valid frame of a known kind.
    """
    try:
        frame = _FRAME.decode(data)
        content = _decode_content(frame.kind, frame.body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PeerMessageError(str(error)) from error
    return Envelope(frame.id, content)


def _encode_content(content: Message | Reply) -> bytes:
    match content:
        case ConfigurationOffer(head, part_by_key):
            bodies = {
                key: encode_configuration(part) for key, part in part_by_key.items()
            }
            return msgspec.msgpack.encode(_OfferForm(head, bodies))
        case Gossip(number, digests):
            return msgspec.msgpack.encode(_GossipForm(number, _digest_forms(digests)))
        case GossipAnswer(number, store_age_s, digests, zones):
            form = _GossipForm(
                number,
                _digest_forms(digests),
                _to_ms(store_age_s),
                tuple(
                    _ZoneLivenessForm(item.zone, item.starts, item.steps)
                    for item in zones
                ),
            )
            return msgspec.msgpack.encode(form)
        case DispatchRequest() as request:
            return msgspec.msgpack.encode(_dispatch_form(request))
        case QuotaRequest() | QuotaGrant() | QuotaTake():
            form_type = _QUOTA_FORM_BY_TYPE[type(content)]
            named = {item.name: getattr(content, item.name) for item in fields(content)}
            return msgspec.msgpack.encode(form_type(**named))
        case _:
            return msgspec.msgpack.encode(content)


def _decode_content(kind: FrameKind, body: msgspec.Raw) -> Message | Reply:
    match kind:
        case FrameKind.CONFIGURATION_OFFER:
            offer = msgspec.msgpack.decode(body, type=_OfferForm)
            parts = {
                key: decode_configuration(part)
                for key, part in offer.part_by_key.items()
            }
            return ConfigurationOffer(offer.head, parts)
        case FrameKind.GOSSIP:
            gossip = msgspec.msgpack.decode(body, type=_GossipForm)
            return Gossip(gossip.round, _digests(gossip))
        case FrameKind.GOSSIP_ANSWER:
            answer = msgspec.msgpack.decode(body, type=_GossipForm)
            return GossipAnswer(
                answer.round,
                _to_s(answer.store_age_ms),
                _digests(answer),
                tuple(
                    ZoneLiveness(item.zone, item.starts, item.steps)
                    for item in answer.words
                ),
            )
        case FrameKind.TURN_WANTED:
            return _dispatch_request(msgspec.msgpack.decode(body, type=_DispatchForm))
        case FrameKind.QUOTA_WANTED | FrameKind.QUOTA_GRANTED | FrameKind.QUOTA_TAKE:
            message_type = _TYPE_BY_KIND[kind]
            quota = msgspec.msgpack.decode(body, type=_QUOTA_FORM_BY_TYPE[message_type])
            return message_type(**msgspec.structs.asdict(quota))
        case _:
            return msgspec.msgpack.decode(body, type=_TYPE_BY_KIND[kind])


def _dispatch_form(request: DispatchRequest) -> _DispatchForm:
    return _DispatchForm(
        request.ticket,
        request.service,
        request.item.model,
        request.item.adapter,
        request.work.prompt_tokens,
        request.work.output_tokens,
        tuple((part.id, part.tokens) for part in request.work.parts),
        request.rank,
        math.floor(request.objective_left_s * MILLISECONDS_PER_SECOND),
        math.floor(request.leave_left_s * MILLISECONDS_PER_SECOND),
        math.floor(request.longest_gap_s * MILLISECONDS_PER_SECOND),
        request.zone,
        request.account,
        request.has_begun,
        request.excluded,
        request.candidates,
        request.has_returned,
        request.node,
    )


def _dispatch_request(form: _DispatchForm) -> DispatchRequest:
    return DispatchRequest(
        form.ticket,
        form.service,
        RequestedModel(form.model, form.adapter),
        Work(
            form.prompt_tokens,
            form.output_tokens,
            tuple(PromptPart(id, tokens) for id, tokens in form.parts),
        ),
        form.rank,
        form.objective_left_ms / MILLISECONDS_PER_SECOND,
        form.leave_left_ms / MILLISECONDS_PER_SECOND,
        form.longest_gap_ms / MILLISECONDS_PER_SECOND,
        form.zone,
        form.account,
        form.has_begun,
        form.excluded,
        form.candidates,
        form.has_returned,
        form.node,
    )


def _digest_forms(digests: tuple[DigestWithAge, ...]) -> tuple[_DigestForm, ...]:
    return tuple(
        _DigestForm(
            heard.digest.node,
            heard.digest.incarnation,
            heard.digest.state,
            heard.digest.generation,
            heard.digest.in_flight_by_endpoint,
            heard.digest.report_by_endpoint,
            heard.digest.beat,
            _demand_form(heard.digest.demand_by_item),
            _to_ms(heard.age_s),
            heard.digest.duty_term,
            heard.digest.unloads_by_endpoint,
            {
                PART_SEPARATOR.join(sorted(parts)): int(
                    left_s * MILLISECONDS_PER_SECOND
                )
                for parts, left_s in heard.digest.quarantine_s_by_parts.items()
            },
            heard.digest.leaving_by_endpoint,
            _report_form(heard.digest, QuotaKind.ACCOUNT),
            _renewal_form(heard.digest, QuotaKind.ACCOUNT),
            heard.digest.endpoints_revision,
            relay_form(heard.digest.relay),
            heard.digest.rules_version,
            heard.digest.limit_by_endpoint,
            _report_form(heard.digest, QuotaKind.ENDPOINT),
            _renewal_form(heard.digest, QuotaKind.ENDPOINT),
            {
                request: int(left_s * MILLISECONDS_PER_SECOND)
                for request, left_s in heard.digest.quarantine_s_by_request.items()
            },
        )
        for heard in digests
    )


def _report_form(digest: NodeDigest, kind: QuotaKind) -> _QuotaReportForm | None:
    report = digest.quota_report_by_kind.get(kind)
    if report is None:
        return None
    return _QuotaReportForm(report.term, report.settled, report.parts_by_id)


def _renewal_form(digest: NodeDigest, kind: QuotaKind) -> _QuotaRenewalForm | None:
    renewal = digest.quota_renewal_by_kind.get(kind)
    if renewal is None:
        return None
    return _QuotaRenewalForm(renewal.beat, renewal.scarce, renewal.backups)


def _reports_by_kind(form: _DigestForm) -> Mapping[QuotaKind, QuotaReport]:
    report_by_kind = {
        QuotaKind.ACCOUNT: form.quota_report,
        QuotaKind.ENDPOINT: form.limit_report,
    }
    return {
        kind: QuotaReport(report.term, report.settled, report.parts_by_id)
        for kind, report in report_by_kind.items()
        if report is not None
    }


def _renewals_by_kind(form: _DigestForm) -> Mapping[QuotaKind, QuotaRenewal]:
    renewal_by_kind = {
        QuotaKind.ACCOUNT: form.quota_renewal,
        QuotaKind.ENDPOINT: form.limit_renewal,
    }
    return {
        kind: QuotaRenewal(renewal.beat, renewal.scarce, renewal.backups)
        for kind, renewal in renewal_by_kind.items()
        if renewal is not None
    }


def _demand_form(
    demand_by_item: Mapping[ItemId, ItemDemand],
) -> Mapping[ItemId, tuple[int, int]]:
    """Return fast and slow demand in thousandths of a slot, to save bytes."""
    return {
        item: (
            round(demand.fast * THOUSANDTHS_PER_SLOT),
            round(demand.slow * THOUSANDTHS_PER_SLOT),
        )
        for item, demand in demand_by_item.items()
    }


def _demand(
    form: Mapping[ItemId, tuple[int, int]],
) -> Mapping[ItemId, ItemDemand]:
    return {
        item: ItemDemand(fast / THOUSANDTHS_PER_SLOT, slow / THOUSANDTHS_PER_SLOT)
        for item, (fast, slow) in form.items()
    }


def _digests(form: _GossipForm) -> tuple[DigestWithAge, ...]:
    """Return the digests of a message.

    Raises PeerMessageError if there are none, as a message always has the digest
    of its sender.
    """
    if not form.digests:
        raise PeerMessageError("gossip has no digest of its sender")
    return tuple(
        DigestWithAge(
            NodeDigest(
                item.node,
                item.incarnation,
                item.state,
                item.generation,
                item.in_flight_by_endpoint,
                item.report_by_endpoint,
                item.beat,
                _demand(item.demand_by_item),
                item.duty_term,
                item.unloads_by_endpoint,
                {
                    _parts(text): left_ms / MILLISECONDS_PER_SECOND
                    for text, left_ms in item.quarantine_ms_by_parts.items()
                },
                item.leaving_by_endpoint,
                _reports_by_kind(item),
                _renewals_by_kind(item),
                item.endpoints_revision,
                read_relay(item.relay),
                item.rules_version,
                item.limit_by_endpoint,
                {
                    request: left_ms / MILLISECONDS_PER_SECOND
                    for request, left_ms in item.quarantine_ms_by_request.items()
                },
            ),
            _to_s(item.age_ms),
        )
        for item in form.digests
    )


def _parts(text: str) -> frozenset[PromptPartId]:
    return frozenset(PromptPartId(part) for part in text.split(PART_SEPARATOR))


def _to_ms(duration_s: float | None) -> int | None:
    """Return milliseconds, rounded up so that encoding never reduces an age."""
    if duration_s is None:
        return None
    return math.ceil(duration_s * MILLISECONDS_PER_SECOND)


def _to_s(duration_ms: int | None) -> float | None:
    return None if duration_ms is None else duration_ms / MILLISECONDS_PER_SECOND
