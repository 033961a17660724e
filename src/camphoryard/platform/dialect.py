"""Headers of requests and answers, as defined by the platform."""

import math
from collections.abc import Mapping

from camphoryard.coordination.forwarding.ports import (
    AnswerHead,
    AnswerKind,
    ClientRequest,
    SendOptions,
)
from camphoryard.coordination.routing.endpoint_notices import (
    Leaving,
    Limited,
    Notice,
    Resting,
    Unlimited,
)
from camphoryard.protocol.dialect import HOP_BY_HOP_HEADERS, RequestHead
from camphoryard.state.accounts import key_digest
from camphoryard.state.dispatch import PromptPart
from camphoryard.state.enums import Reason
from camphoryard.state.errors import BrokenCallError, RefusalError
from camphoryard.state.ids import (
    AdapterId,
    EndpointId,
    EventId,
    KeyDigest,
    ModelId,
    PromptPartId,
    RequestId,
)
from camphoryard.state.serving_endpoints import ServingEndpoint
from camphoryard.state.traffic import RequestedModel
from camphoryard.state.verdict import Verdict

REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
LAST_EVENT = "Last-Event-Id"
MODEL = "Model"
TOKEN_COUNTS = "Token-Count"
PROMPT_PARTS = "Prompt-Prefix"
LENGTH_HINT = "Length-Hint"
# Signature of an answer by its endpoint.
SIGNATURE = "Server-Seal"
NOT_RUN = "Not-Executed"
EXPECTED_ENDPOINT = "Expect-Instance"
ENDPOINT = "Instance-Id"
URGENCY = "Urgency-Class"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"
LIMIT = "Server-Limit"
WEIGHTS_VERSION = "Weight-Versions"
SINGLE_ANSWER_FIELDS = frozenset(
    {
        REQUEST_ID,
        SIGNATURE,
        NOT_RUN,
        ENDPOINT,
        LEAVING,
        LIMIT,
        WEIGHTS_VERSION,
    }
)
"""Fields of endpoints' answers that are no lists."""
AUTHORIZATION = "Authorization"
KEY_SCHEME = "bearer"
HEADER_ENCODING = "latin-1"
"""Encoding that the bytes of headers are decoded with; see PEP 3333."""
ACCOUNT = "Tenant"
CREDENTIALS = frozenset(name.lower() for name in (AUTHORIZATION, ACCOUNT))
"""Headers, in lower case, that are not forwarded where accounts are configured."""

SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        EXPECTED_ENDPOINT,
        URGENCY,
        "Expect-Version",
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        DEADLINE,
        LAST_EVENT,
    )
)
"""Headers that clients cannot set for endpoints, in lower case."""

LIST_SEPARATOR = ","
MAX_QUOTED_CHARACTERS = 80
"""Maximum number of characters of a malformed id that an error quotes."""
DEFAULT_DEADLINE_S = 30.0
"""For requests without a deadline; longer than any deadline the users specify."""
MILLISECONDS_PER_SECOND = 1000
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
LOWEST_URGENCY = 9


class PlatformDialect:
    """Reads and writes the platform's headers; see the Dialect port."""

    def read_request(
        self, head: RequestHead, body: bytes, arrived_s: float
    ) -> ClientRequest:
        """Return the request; raises RefusalError if a header cannot be read."""
        headers = head.headers
        id = headers.get(REQUEST_ID.lower())
        if not id:
            raise RefusalError(
                Reason.BAD_HEADER, f"{REQUEST_ID} is missing", field=REQUEST_ID
            )
        if not head.target.startswith("/"):
            raise RefusalError(Reason.BAD_FIELD, "the target is not a path")
        prompt_tokens, max_output_tokens = _token_counts(headers)
        last_event = headers.get(LAST_EVENT.lower())
        return ClientRequest(
            RequestId(id),
            head.method,
            headers.get("host", "").partition(":")[0].lower(),
            head.target,
            _forwarded_headers(headers),
            body,
            arrived_s,
            arrived_s + _deadline_s(headers),
            EventId(last_event) if last_event else None,
            _requested_model(headers),
            prompt_tokens,
            max_output_tokens,
            _int(headers, LENGTH_HINT),
            _prompt_parts(headers),
            _key(headers),
            {
                name.title(): value
                for name, value in headers.items()
                if name in CREDENTIALS
            },
        )

    def call_headers(
        self,
        endpoint: ServingEndpoint,
        request: ClientRequest,
        options: SendOptions,
        left_s: float,
    ) -> Mapping[str, str]:
        """Return the headers of the call that sends a request to an endpoint."""
        headers = dict(request.headers)
        if options.forwards_credentials:
            headers.update(request.credentials)
        if options.account is not None:
            headers[ACCOUNT] = options.account
        headers[DEADLINE] = str(max(1, int(left_s * MILLISECONDS_PER_SECOND)))
        headers[EXPECTED_ENDPOINT] = endpoint.id
        if request.requested_model is not None:
            headers[URGENCY] = str(min(options.urgency, LOWEST_URGENCY))
        if options.resume_after is not None:
            headers[LAST_EVENT] = options.resume_after
        return headers

    def read_answer(
        self,
        endpoint: ServingEndpoint,
        request: ClientRequest,
        status: int,
        headers: Mapping[str, str],
        is_first_on_connection: bool,
    ) -> AnswerHead | None:
        """Return the head of an answer, or None if it answers another request.

        Raises BrokenCallError if its id is that of no request.
        """
        value_by_name = {name.lower(): value for name, value in headers.items()}
        echoed = value_by_name.get(REQUEST_ID.lower())
        is_signed = SIGNATURE.lower() in value_by_name
        if echoed != request.id and (is_signed or echoed is not None):
            # A second answer to an earlier call; it may lack the request id.
            _check_is_id(echoed)
            return None
        is_identified = bool(echoed) or is_first_on_connection
        answer_headers = {
            name: value
            for name, value in headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        }
        return AnswerHead(
            _answer_kind(status, value_by_name, is_signed, is_identified),
            status,
            answer_headers,
            value_by_name.get("connection", "").lower() == "close",
            read_notices(endpoint.id, status, value_by_name) if is_identified else (),
        )

    def refusal_headers(
        self, id: RequestId | None, refusal: RefusalError
    ) -> Mapping[str, str]:
        """Return the headers of the answer to a refused request."""
        headers = {REQUEST_ID: str(id)} if id else {}
        if refusal.verdict is Verdict.NOT_RUN and refusal.retry_after_s > 0:
            headers[RETRY_AFTER] = f"{refusal.retry_after_s:.3f}"
        if refusal.reason is Reason.UNAUTHENTICATED:
            headers["WWW-Authenticate"] = KEY_SCHEME.title()
        return headers


def _check_is_id(echoed: str | None) -> None:
    """Check that the id in an answer may be that of an earlier request.

    Raises
    ------
    BrokenCallError
        If it is empty or a list. The request's own answer is not to be expected behind
        such an answer.
    """
    if echoed is not None and (not echoed or LIST_SEPARATOR in echoed):
        raise BrokenCallError(
            f"invalid request id: {echoed!r:.{MAX_QUOTED_CHARACTERS}}"
        )


def read_notices(
    endpoint: EndpointId, status: int, value_by_name: Mapping[str, str]
) -> tuple[Notice, ...]:
    """Return what an endpoint says of itself in the head of an answer.

    Header names are in lower case. An answer of another endpoint at the same address
    says nothing about this one.
    """
    if value_by_name.get(ENDPOINT.lower(), endpoint) != endpoint:
        return ()
    notices: list[Notice] = []
    if value_by_name.get(LEAVING.lower(), "").strip() == "1":
        notices.append(Leaving())
    if status == UNAVAILABLE_STATUS:
        wait_s = _seconds(value_by_name.get(RETRY_AFTER.lower(), ""))
        if wait_s > 0:
            notices.append(Resting(wait_s))
    notices.extend(_limit_notices(status, value_by_name))
    return tuple(notices)


def _limit_notices(
    status: int, value_by_name: Mapping[str, str]
) -> tuple[Limited | Unlimited, ...]:
    """Return the limit that an answer names, or that it names none.

    A refusal without the header says nothing, as it may be the copy of an earlier one.
    """
    text = value_by_name.get(LIMIT.lower())
    if text is not None:
        try:
            per_s = float(text)
        except ValueError:
            return ()
        return (Limited(per_s),) if 0 <= per_s < math.inf else ()
    is_refusal = NOT_RUN.lower() in value_by_name or status == MISDIRECTED_STATUS
    if is_refusal or SIGNATURE.lower() not in value_by_name:
        return ()
    return (Unlimited(),)


def _seconds(text: str) -> float:
    """Return a number of seconds; 0 if it is none, as for a date."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if math.isfinite(seconds) else 0.0


def _answer_kind(
    status: int, value_by_name: Mapping[str, str], is_signed: bool, is_identified: bool
) -> AnswerKind:
    if not is_identified:
        # It may be a copy of an earlier refusal, which says nothing about this request.
        return AnswerKind.UNTRUSTED
    if status == MISDIRECTED_STATUS:
        return AnswerKind.NOT_LOADED
    if NOT_RUN.lower() in value_by_name:
        return AnswerKind.NOT_RUN
    if not is_signed or "content-encoding" in value_by_name:
        return AnswerKind.UNTRUSTED
    return AnswerKind.SERVED if 200 <= status < 300 else AnswerKind.FAILED


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the client's headers that are forwarded unchanged."""
    return {
        name.title(): value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS
        and name not in SYSTEM_HEADERS
        and name not in CREDENTIALS
        and name != "content-length"
    }


def _key(headers: Mapping[str, str]) -> KeyDigest | None:
    """Return the digest of the client's key, or None without one."""
    scheme, _, key = headers.get(AUTHORIZATION.lower(), "").strip().partition(" ")
    if scheme.lower() != KEY_SCHEME or not key.strip():
        return None
    return key_digest(key.strip().encode(HEADER_ENCODING))


def _deadline_s(headers: Mapping[str, str]) -> float:
    milliseconds = _int(headers, DEADLINE)
    return milliseconds / MILLISECONDS_PER_SECOND or DEFAULT_DEADLINE_S


def _int(headers: Mapping[str, str], name: str) -> int:
    text = headers.get(name.lower(), "")
    try:
        return max(0, int(float(text))) if text else 0
    except (ValueError, OverflowError) as error:
        raise RefusalError(
            Reason.BAD_HEADER, f"{name} is not a number", field=name
        ) from error


def _token_counts(headers: Mapping[str, str]) -> tuple[int, int]:
    """Return the number of prompt tokens and the maximum of output tokens."""
    text = headers.get(TOKEN_COUNTS.lower(), "")
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    try:
        return int(prompt), int(output or 0)
    except ValueError as error:
        raise RefusalError(
            Reason.BAD_HEADER,
            f"{TOKEN_COUNTS} is not two numbers",
            field=TOKEN_COUNTS,
        ) from error


def _requested_model(headers: Mapping[str, str]) -> RequestedModel | None:
    text = headers.get(MODEL.lower(), "")
    if not text:
        return None
    model, _, adapter = text.partition("/")
    return RequestedModel(ModelId(model), AdapterId(adapter) if adapter else None)


def _prompt_parts(headers: Mapping[str, str]) -> tuple[PromptPart, ...]:
    text = headers.get(PROMPT_PARTS.lower(), "")
    parts = []
    for item in filter(None, text.split(",")):
        id, _, tokens = item.strip().partition(":")
        if not tokens.isdigit():
            raise RefusalError(
                Reason.BAD_HEADER,
                f"{PROMPT_PARTS} is not a list of ID:TOKENS",
                field=PROMPT_PARTS,
            )
        parts.append(PromptPart(PromptPartId(id), int(tokens)))
    return tuple(parts)
