"""The daemon: runs one node until it is told to stop."""

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
KEEP_COUNTS_PERIOD_S = 1.0
"""Between two tries of a stopping node to have its counts known elsewhere."""
EXIT_SETTINGS = 2
EXIT_NOT_BOUND = 3
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})

log = structlog.get_logger()


def supervise_endpoints(node: Node) -> None:
    """Keep one task running for each endpoint that this node should own."""
    task_by_endpoint: dict[EndpointId, Future[None]] = {}
    for _ in node.shared.timer.every(SUPERVISE_PERIOD_S):
        for endpoint in node.residency.owner.assigned_endpoints():
            task = task_by_endpoint.get(endpoint)
            if task is None or task.done():
                task_by_endpoint[endpoint] = node.shared.executors.endpoints.submit(
                    node.residency.owner.run_endpoint, endpoint, node.shared.timer
                )


def run_node(node: Node) -> None:
    """Run until told to stop, then drain."""
    own = node.shared.settings.node
    node.shared.peers.listen(
        own.host, own.peer_port, functools.partial(handle, node.membership)
    )
    connections = node.shared.executors.connections
    server = make_server(
        node.app, own.host, own.http_port, connections, node.app.refuse
    )
    threading.Thread(target=server.run, name="http", daemon=True).start()
    node.door.enter(NodeState.SERVING)
    node.leases.enter(NodeState.SERVING)
    run = node.shared.executors.node.submit
    tasks = [
        run(node.leases.run, node.shared.timer),
        run(node.control.gossiper.run, node.shared.timer),
        run(node.control.joiner.run, node.shared.timer),
        run(node.control.greeter.run, node.shared.timer),
        run(supervise_endpoints, node),
        *(run(task, node.shared.timer) for task in node.background),
        run(node.residency.usage.run, node.shared.timer),
        run(node.admission.run, node.shared.timer),
        run(node.shared.demand.run, node.shared.timer),
        run(node.placer.run, node.shared.timer),
        run(follow_vms, node.vm_list, node.shared.vms, node.shared.timer),
        *(run(follower.run, node.shared.timer) for follower in node.followers),
    ]
    for task in tasks:
        task.add_done_callback(_report)
    node.shared.stop.wait()
    drain(node, server)
    server.close()


def _report(task: Future[None]) -> None:
    error = task.exception()
    if error is not None:
        log.error("task_failed", error=repr(error))


def watch_signals(stop: threading.Event) -> None:
    """Have each stop signal set ``stop``; a second one changes nothing."""
    while True:
        signal.sigwait(STOP_SIGNALS)
        stop.set()


def wait_grace(node: Node) -> None:
    """Block for the grace time of a stopping node."""
    ticks = iter(node.shared.timer.every(node.shared.settings.serving.grace_s))
    next(ticks)
    next(ticks)


def drain(node: Node, server: HttpServer) -> None:
    """Finish what is in flight, hand over and close.

    The balancer sees first that the node is not ready; only after a grace time
    is new work refused.
    """
    node.door.enter(NodeState.DRAINING)
    node.leases.enter(NodeState.DRAINING)
    wait_grace(node)
    node.door.enter(NodeState.STOPPING)
    limit_s = time.monotonic() + DRAIN_LIMIT_S
    node.door.wait_idle(limit_s)
    server.wait_flushed(limit_s)
    # What is refused after the last counts are written would be counted nowhere.
    server.stop_accepting()
    server.wait_flushed(limit_s)
    node.settler.finalize_pending()
    keep_counts(node, limit_s)
    node.shared.timer.close()
    node.shared.budget.close()
    node.residency.client.close()
    node.residency.owner.close()
    node.leases.release()
    close(node)


def keep_counts(node: Node, limit_s: float) -> None:
    """Have the object API or peers know all counts of refusals.

    A node that is cut off from both tries until it reaches one, as long as a stop
    may last.
    """
    for _ in node.shared.timer.every(KEEP_COUNTS_PERIOD_S):
        if node.refusal_handover.transfer(node.refusal_folder.fold_all()):
            return
        if time.monotonic() >= limit_s:
            log.warning("refusal_counts_lost")
            return


def close(node: Node) -> None:
    """End every task of the node."""
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
    """Log one line of key=value pairs for each event to standard error."""
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

    Exit codes: 0 stopped or settings fine, 2 settings bad, 3 a port cannot be
    bound.
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
    # Blocked before any thread starts, so that only the watching one gets them:
    # a handler would wait for the main thread, which may not wake for it.
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
