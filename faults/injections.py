"""Faults that a run injects: a data class for each, and the code that applies them."""

import random
import signal
import threading
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from http.client import HTTPException
from typing import TypeAlias, get_args

from standins.fleet import HttpError
from standins.links import LinkState
from standins.site import Site

MIN_DURATION_S, MAX_DURATION_S = 0.5, 5.0
MAX_CUT_DURATION_S = 15.0
CUT_SHARE = 0.3
REFUSE_EVERY = 5
CUT_STATES = (LinkState.BLACK_HOLE, LinkState.ANSWERS_HELD, LinkState.RESET)


@dataclass(frozen=True, slots=True)
class KillNode:
    """Kill a node; it restarts without state after ``duration_s``."""

    node: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class KillAllNodes:
    """Kill all nodes at once; they restart without state after ``duration_s``."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class StopNode:
    """Stop a node gracefully; it restarts after ``duration_s``."""

    node: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class FreezeNode:
    """Suspend a node for ``duration_s``, often longer than its lease."""

    node: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class KillEngine:
    """Kill an engine; it restarts with empty memory after ``duration_s``."""

    engine: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class FreezeEngine:
    """Suspend an engine for ``duration_s``."""

    engine: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """Every call of the object API fails for ``duration_s``."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class SlowStore:
    """Every call of the object API takes ``delay_ms`` longer for ``duration_s``."""

    delay_ms: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class LoseStoreAnswers:
    """The answers of the next ``count`` writes are lost after they took effect."""

    count: int


@dataclass(frozen=True, slots=True)
class LoseOrders:
    """The next ``count`` orders to an engine are lost."""

    engine: str
    count: int


@dataclass(frozen=True, slots=True)
class DelayOrders:
    """Orders to an engine arrive ``delay_s`` late for ``duration_s``."""

    engine: str
    delay_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class DoubleOrders:
    """Orders to an engine are carried out twice for ``duration_s``."""

    engine: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class RepeatAnswers:
    """An engine repeats answers with at least ``status``, for ``duration_s``.

    It refuses some requests meanwhile, so that there are refusals to repeat.
    """

    engine: str
    status: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class LoseServiceAnswers:
    """A service runs the next ``count`` calls and breaks the connection."""

    service: str
    count: int


@dataclass(frozen=True, slots=True)
class CutFromPeers:
    """A node and its peers cannot reach each other for ``duration_s``."""

    node: str
    state: LinkState
    duration_s: float


@dataclass(frozen=True, slots=True)
class CutTowardsPeers:
    """A node receives from its peers, but cannot send to them for ``duration_s``."""

    node: str
    state: LinkState
    duration_s: float


@dataclass(frozen=True, slots=True)
class CutFromStore:
    """A node cannot reach the object API for ``duration_s``."""

    node: str
    state: LinkState
    duration_s: float


@dataclass(frozen=True, slots=True)
class CutFromEngine:
    """A node cannot reach an engine for ``duration_s``."""

    node: str
    engine: str
    state: LinkState
    duration_s: float


@dataclass(frozen=True, slots=True)
class CutOff:
    """A node can reach neither its peers nor the object API for ``duration_s``."""

    node: str
    state: LinkState
    duration_s: float


Cut: TypeAlias = CutFromPeers | CutTowardsPeers | CutFromStore | CutFromEngine | CutOff
Injection: TypeAlias = (
    Cut
    | KillNode
    | KillAllNodes
    | StopNode
    | FreezeNode
    | KillEngine
    | FreezeEngine
    | StoreOutage
    | SlowStore
    | LoseStoreAnswers
    | LoseOrders
    | DelayOrders
    | DoubleOrders
    | RepeatAnswers
    | LoseServiceAnswers
)

KINDS = frozenset(
    kind.__name__ for kind in set(get_args(Injection)) - set(get_args(Cut))
)
"""Names of the kinds that can be drawn alone."""


def draw_injection(
    site: Site, rng: random.Random, kinds: Collection[str] = ()
) -> Injection:
    """Return a random injection for a site, of one of ``kinds`` if any is named."""
    duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    node = rng.choice(site.nodes)
    engine = rng.choice(site.engines)
    choices: Sequence[Injection] = (
        KillNode(node, duration_s),
        KillAllNodes(duration_s / 2),
        StopNode(node, duration_s),
        FreezeNode(node, 2 * duration_s),
        KillEngine(engine, duration_s),
        FreezeEngine(engine, duration_s),
        StoreOutage(2 * duration_s),
        SlowStore(rng.uniform(20, 400), duration_s),
        LoseStoreAnswers(rng.randint(1, 4)),
        LoseOrders(engine, rng.randint(1, 3)),
        DelayOrders(engine, rng.uniform(0.1, 4.0), duration_s),
        DoubleOrders(engine, duration_s),
        RepeatAnswers(engine, rng.choice((200, 400)), duration_s),
        LoseServiceAnswers(rng.choice(site.services), rng.randint(1, 3)),
    )
    if kinds:
        return rng.choice([item for item in choices if type(item).__name__ in kinds])
    if site.spec.links and rng.random() < CUT_SHARE:
        return _draw_cut(node, engine, rng)
    return rng.choice(choices)


def _draw_cut(node: str, engine: str, rng: random.Random) -> Cut:
    """Return a random cut of links; some outlast the staleness limit."""
    duration_s = rng.uniform(MIN_DURATION_S, MAX_CUT_DURATION_S)
    state = rng.choice(CUT_STATES)
    return rng.choice(
        (
            CutFromPeers(node, state, duration_s),
            CutTowardsPeers(node, state, duration_s),
            CutFromStore(node, state, duration_s),
            CutFromEngine(node, engine, state, duration_s),
            CutOff(node, state, duration_s),
        )
    )


def links_cut_by(cut: Cut, site: Site) -> list[tuple[str, str]]:
    """Return the links that a cut affects, each as a node and a target."""
    others = [node for node in site.nodes if node != cut.node]
    store = (cut.node, "object-api")
    match cut:
        case CutFromPeers():
            return site.links_to_peers(cut.node)
        case CutTowardsPeers():
            return [(cut.node, other) for other in others]
        case CutFromStore():
            return [store]
        case CutFromEngine():
            return [(cut.node, cut.engine)]
        case CutOff():
            return [store, *site.links_to_peers(cut.node)]


def inject(site: Site, injection: Injection, stop: threading.Event) -> None:
    """Inject a fault and remove it after its duration, or when ``stop`` is set."""
    match injection:
        case KillNode(node, duration_s) | KillEngine(node, duration_s):
            _kill_and_restart(site, (node,), duration_s, stop)
        case KillAllNodes(duration_s):
            _kill_and_restart(site, tuple(site.nodes), duration_s, stop)
        case StopNode(node, duration_s):
            _stop_and_restart(site, node, duration_s, stop)
        case FreezeNode(name, duration_s) | FreezeEngine(name, duration_s):
            _freeze(site, name, duration_s, stop)
        case StoreOutage(duration_s):
            site.control("object-api", outage=True)
            stop.wait(duration_s)
            site.control("object-api", outage=False)
        case SlowStore(delay_ms, duration_s):
            site.control("object-api", delay_ms=delay_ms)
            stop.wait(duration_s)
            site.control("object-api", delay_ms=0)
        case LoseStoreAnswers(count):
            site.control("object-api", lose_answers=count)
        case LoseOrders(engine, count):
            _control(site, engine, lose_orders=count)
        case DelayOrders(engine, delay_s, duration_s):
            _control(site, engine, order_delay_s=delay_s)
            stop.wait(duration_s)
            _control(site, engine, order_delay_s=0)
        case DoubleOrders(engine, duration_s):
            _control(site, engine, duplicate_orders=True)
            stop.wait(duration_s)
            _control(site, engine, duplicate_orders=False)
        case RepeatAnswers(engine, status, duration_s):
            _control(site, engine, repeat_from=status, refuse_every=REFUSE_EVERY)
            stop.wait(duration_s)
            _control(site, engine, repeat_from=0, refuse_every=0)
        case CutFromPeers() | CutTowardsPeers() | CutFromStore():
            _cut(site, injection, stop)
        case CutFromEngine() | CutOff():
            _cut(site, injection, stop)
        case LoseServiceAnswers(service, count):
            _control(site, service, lose_answers=count)


def _cut(site: Site, cut: Cut, stop: threading.Event) -> None:
    links = links_cut_by(cut, site)
    site.set_links(cut.state, links)
    stop.wait(cut.duration_s)
    site.set_links(LinkState.OPEN, links)


def _link_names(cut: Cut, site: Site) -> frozenset[str]:
    return frozenset(f"{node} to {target}" for node, target in links_cut_by(cut, site))


def _control(site: Site, name: str, **faults: object) -> None:
    """Set faults at a stand-in that another injection may have killed."""
    try:
        site.control(name, **faults)
    except (OSError, HTTPException, HttpError):
        return


def _kill_and_restart(
    site: Site, names: Sequence[str], duration_s: float, stop: threading.Event
) -> None:
    for name in names:
        site.fleet.process_by_name[name].kill()
    stop.wait(duration_s)
    for name in names:
        site.fleet.restart(name)
    site.fleet.wait_ready(names)


def _stop_and_restart(
    site: Site, node: str, duration_s: float, stop: threading.Event
) -> None:
    process = site.fleet.process_by_name[node]
    process.signal(signal.SIGTERM)
    code = process.popen.wait()
    site.fleet.exit_codes.append(code)
    stop.wait(duration_s)
    site.fleet.restart(node)
    site.fleet.wait_ready((node,))


def _freeze(site: Site, name: str, duration_s: float, stop: threading.Event) -> None:
    process = site.fleet.process_by_name[name]
    process.pause()
    stop.wait(duration_s)
    process.resume()


def affected_targets(injection: Injection, site: Site) -> frozenset[str]:
    """Return the names of the processes and links that an injection affects."""
    match injection:
        case CutFromPeers() | CutTowardsPeers() | CutFromStore():
            return _link_names(injection, site)
        case CutFromEngine() | CutOff():
            return _link_names(injection, site)
        case KillNode(name, _) | StopNode(name, _) | FreezeNode(name, _):
            return frozenset((name,))
        case KillEngine(name, _) | FreezeEngine(name, _):
            return frozenset((name,))
        case KillAllNodes():
            return frozenset(site.nodes)
        case LoseOrders(name, _) | DelayOrders(name, _, _) | DoubleOrders(name, _):
            return frozenset((name,))
        case RepeatAnswers(name, _, _):
            return frozenset((name,))
        case StoreOutage() | SlowStore() | LoseStoreAnswers():
            return frozenset(("object-api",))
        case LoseServiceAnswers(name, _):
            return frozenset((name,))
