"""The daemon: runs one node until a stop signal or a drain request."""

import functools
import logging
import signal
import sys
import threading
import time
from concurrent.futures import Future
from pathlib import Path
from typing import Annotated

import structlog
import typer

from camphoryard.coordination.admission.client_memory import Cause
from camphoryard.coordination.membership.peer_messages import handle
from camphoryard.coordination.membership.vm_watching import follow_vms
from camphoryard.node import Node, make_node
from camphoryard.settings import SettingsError, read_settings
from camphoryard.state.enums import NodeState
from camphoryard.state.errors import ListenError
from camphoryard.state.ids import EndpointId
from camphoryard.transport.http_server import HttpServer, make_server

SUPERVISE_PERIOD_S = 0.5
DRAIN_LIMIT_S = 60.0
PERSIST_COUNTS_PERIOD_S = 1.0
"""Time between two attempts of a stopping node to persist its refusal counts."""
EXIT_SETTINGS = 2
EXIT_NOT_BOUND = 3
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})

log = structlog.get_logger()


def supervise_endpoints(node: Node) -> None:
    """Keep one task running for each endpoint that is assigned to this node."""
    task_by_endpoint: dict[EndpointId, Future[None]] = {}
    for _ in node.shared.timer.every(SUPERVISE_PERIOD_S):
        for endpoint in node.residency.owner.assigned_endpoints():
            task = task_by_endpoint.get(endpoint)
            if task is None or task.done():
                task_by_endpoint[endpoint] = node.shared.executors.endpoints.submit(
                    node.residency.owner.run_endpoint, endpoint, node.shared.timer
                )


def run_node(node: Node) -> None:
    """Serve until a stop signal or a drain request, then drain."""
    own = node.shared.settings.node
    node.shared.peers.listen(
        own.host, own.peer_port, functools.partial(handle, node.peer_message_context)
    )
    connections = node.shared.executors.connections
    server = make_server(
        node.app,
        own.host,
        own.http_port,
        connections,
        node.app.refuse,
        turned_away=functools.partial(_count_turned_away, node),
    )
    threading.Thread(target=server.run, name="http", daemon=True).start()
    node.gateway.enter(NodeState.SERVING)
    node.lease_renewer.set_state(NodeState.SERVING)
    run = node.shared.executors.node.submit
    tasks = [
        run(node.lease_renewer.run, node.shared.timer),
        run(node.control_plane.gossiper.run, node.shared.timer),
        run(node.control_plane.joiner.run, node.shared.timer),
        run(node.control_plane.announcer.run, node.shared.timer),
        run(supervise_endpoints, node),
        *(run(task, node.shared.timer) for task in node.background_tasks),
        run(node.residency.usage.run, node.shared.timer),
        run(node.admission.run, node.shared.timer),
        run(node.shared.demand.run, node.shared.timer),
        run(node.placer.run, node.shared.timer),
        run(follow_vms, node.vm_list, node.shared.vms, node.shared.timer),
        *(run(watcher.run, node.shared.timer) for watcher in node.watchers),
    ]
    for task in tasks:
        task.add_done_callback(_log_failure)
    node.shared.stop.wait()
    drain(node, server)
    server.close()


def _count_turned_away(node: Node, cause: Cause, host: str, held_bytes: int) -> None:
    node.shared.metrics.count(f"clients_turned_away_{cause.value}")


def _log_failure(task: Future[None]) -> None:
    error = task.exception()
    if error is not None:
        log.error("task_failed", error=repr(error))


def watch_signals(stop: threading.Event) -> None:
    """Set ``stop`` on each stop signal; a second signal has no effect."""
    while True:
        signal.sigwait(STOP_SIGNALS)
        stop.set()


def wait_grace(node: Node) -> None:
    """Block for the grace period of a stopping node."""
    ticks = iter(node.shared.timer.every(node.shared.settings.serving.grace_s))
    next(ticks)
    next(ticks)


def drain(node: Node, server: HttpServer) -> None:
    """Finish in-flight requests, transfer refusal counts and close.

    Readiness probes fail at once, but new requests are refused only after a grace
    period, so that the load balancer can stop sending them.
    """
    node.gateway.enter(NodeState.DRAINING)
    node.lease_renewer.set_state(NodeState.DRAINING)
    wait_grace(node)
    node.gateway.enter(NodeState.STOPPING)
    deadline_s = time.monotonic() + DRAIN_LIMIT_S
    node.gateway.wait_idle(deadline_s)
    server.wait_flushed(deadline_s)
    # A refusal after the final write of the counts would be lost.
    server.stop_accepting()
    server.wait_flushed(deadline_s)
    node.claim_finalizer.finalize_pending()
    persist_refusal_counts(node, deadline_s)
    node.shared.timer.close()
    node.shared.budget.close()
    node.residency.client.close()
    node.residency.owner.close()
    node.lease_renewer.release()
    close(node)


def persist_refusal_counts(node: Node, deadline_s: float) -> None:
    """Persist all refusal counts in the object API or at peers.

    If neither is reachable, try again until ``deadline_s``, a monotonic time.
    """
    for _ in node.shared.timer.every(PERSIST_COUNTS_PERIOD_S):
        if node.refusal_replicator.transfer(node.refusal_persister.persist_all()):
            return
        if time.monotonic() >= deadline_s:
            log.warning("refusal_counts_lost")
            return


def close(node: Node) -> None:
    """Stop all tasks of the node."""
    node.shared.timer.close()
    node.shared.client.close()
    node.shared.peers.close()
    executors = node.shared.executors
    for executor in (
        executors.node,
        executors.jobs,
        executors.loads,
        executors.endpoints,
        executors.streams,
        executors.handlers,
        executors.connections,
        executors.peers,
    ):
        executor.shutdown(wait=False, cancel_futures=True)


def configure_logging() -> None:
    """Log each event to standard error as one line of key=value pairs."""
    logging.basicConfig(stream=sys.stderr, format="%(message)s", level=logging.INFO)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event", "node"]
            ),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


app = typer.Typer(add_completion=False)


@app.command()
def command(
    settings: Annotated[Path, typer.Option(help="TOML settings file.")],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
) -> None:
    """Run one node.

    Exit codes: 0 stopped or settings valid, 2 invalid settings, 3 port not bound.
    """
    try:
        checked = read_settings(settings)
    except SettingsError as error:
        typer.echo(f"camphoryardd: {error}", err=True)
        raise typer.Exit(EXIT_SETTINGS) from error
    if check:
        typer.echo(f"{settings}: settings are fine")
        return
    configure_logging()
    # Block signals before any thread starts, so that only `watch_signals` gets them. A
    # signal handler would run in the main thread, which may be blocked.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    node = make_node(checked)
    stop = node.shared.stop
    threading.Thread(target=watch_signals, args=(stop,), daemon=True).start()
    try:
        run_node(node)
    except ListenError as error:
        typer.echo(f"camphoryardd: {error}", err=True)
        close(node)
        raise typer.Exit(EXIT_NOT_BOUND) from error


def main() -> None:
    """Entry point of ``camphoryardd``."""
    app()


if __name__ == "__main__":
    main()
