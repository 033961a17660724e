"""The entry daemon: starts, serves until a stop signal, and drains."""

import os
import signal
import sys
import threading
import time
import traceback
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from pathlib import Path

from camphoryard.coordination.admission.client_memory import Cause
from camphoryard.coordination.admission.connection_room import max_connections
from camphoryard.coordination.cancellation import CancellationCause
from camphoryard.coordination.fleet.node_registration import (
    agree_on_keys,
    restore_keys,
    run_after_restores,
)
from camphoryard.coordination.forwarding.context import RequestInProgress
from camphoryard.coordination.observing.process_pauses import log_process_pauses
from camphoryard.entry.assembly import Entry, handle, make_entry
from camphoryard.platform.settings import settings_path
from camphoryard.settings import SettingsError
from camphoryard.state.errors import ListenError
from camphoryard.transport.http_server import ConnectionLimits, HttpServer, make_server
from camphoryard.transport.peers import CurveKeys
from camphoryard.transport.timer import TimerService

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
WATCHED_SIGNALS = STOP_SIGNALS | {signal.SIGHUP}
EXIT_SETTINGS = 2
EXIT_NOT_BOUND = 3
ADMISSION_GRACE_FRACTION = 0.28
"""Fraction of the grace period in which a stopping node still accepts requests. The
load balancer needs two failed probes, one second apart, to stop sending them, and
streams need the remaining seconds to finish."""
IDLE_CLOSE_GRACE_FRACTION = 0.15
"""Fraction of the grace period after which idle connections are closed repeatedly."""
DRAIN_POLL_PERIOD_S = 0.25
ANSWER_MARGIN_S = 0.25
"""Time reserved before the end of the drain to answer the requests left by then."""
SHUTDOWN_MARGIN_S = 0.4
"""Time reserved for the exit between the end of the drain and of the grace period."""
LOG_FLUSH_TIMEOUT_S = 0.2
"""Maximum wait for the last log lines to be written."""
PROBE_LIMITS = ConnectionLimits(
    header_bytes=16 << 10, body_bytes=16 << 10, header_timeout_s=10.0
)
"""Limits of readiness and metrics requests, which have no bodies."""
MAX_PROBE_CONNECTIONS = 16
"""Maximum number of connections of the readiness port, and of the metrics port."""
RESTART_PERIOD_S = 1.0
"""Minimum time between two starts of a task that fails."""


def run_entry(entry: Entry) -> None:
    """Serve until a stop signal, then drain.

    Raises
    ------
    ListenError
        If a port cannot be bound.
    """
    settings = entry.settings
    threading.Thread(target=entry.log.run, name="log", daemon=True).start()
    front = make_server(
        entry.app,
        settings.front.host,
        settings.front.port,
        entry.executors.connections,
        entry.app.refuse,
        is_balancer_trusted=True,
        memory=entry.client_memory,
        max_connections=max_connections(settings.vm_limits.max_fds),
        turned_away=partial(report_turned_away, entry, "front"),
    )
    make_probe_server = partial(
        make_server,
        executor=entry.executors.node,
        refuse=entry.readiness.refuse,
        limits=PROBE_LIMITS,
        max_connections=MAX_PROBE_CONNECTIONS,
        turned_away=partial(report_turned_away, entry, "probes"),
    )
    ready = make_probe_server(entry.readiness, settings.ready.host, settings.ready.port)
    entry.directory.subscribe(partial(_apply_limits, entry, front))
    servers = {"front": front, "ready": ready}
    if settings.metrics_port:
        servers["metrics"] = make_probe_server(
            entry.readiness, settings.host, settings.metrics_port
        )
    for name, server in servers.items():
        threading.Thread(target=server.run, name=name, daemon=True).start()
    tasks: tuple[Callable[[TimerService], None], ...] = (
        *(watcher.run for watcher in entry.watchers),
        entry.rules_fetcher.run,
        entry.feed.run_expiry,
        entry.live_settings.run,
        entry.leader_lease.run,
        entry.load_controller.run,
        entry.retry_recorder.run,
        *(quotas.run for quotas in entry.quotas_by_kind.values()),
        partial(log_process_pauses, entry.log),
        partial(join_fleet, entry),
    )
    for task in tasks:
        entry.executors.node.submit(_run_with_restarts, entry, task)
    entry.log("started", front=settings.front, zone=settings.zone)
    entry.stop.wait()
    drain(entry, front)


def report_turned_away(
    entry: Entry, server: str, cause: Cause, host: str, held_bytes: int
) -> None:
    """Log and count a client that was turned away to keep to the VM's limits."""
    entry.metrics.count(f"clients_turned_away_{cause.value}")
    entry.log(
        "client_turned_away",
        server=server,
        cause=cause.value,
        client=host,
        held_bytes=held_bytes,
    )


def join_fleet(entry: Entry, timer: TimerService) -> None:
    """Agree on keys, listen for peers, register this node and run gossip."""
    keys = agree_on_keys(
        entry.keys, entry.own_keys, timer, not entry.settings.is_first_start
    )
    if keys is None:
        return
    public = keys.public.encode()
    entry.peers.use_keys(CurveKeys(public, keys.secret.encode(), frozenset({public})))
    entry.peers.listen(
        entry.settings.host, entry.settings.peer_ports[0], partial(handle, entry)
    )
    lease = replace(entry.lease, public_key=keys.public)
    entry.registration.run(timer, lease)

    def rewrite() -> None:
        restore_keys(entry.keys, keys, entry.log)
        entry.registration.enter(lease)

    keep_records = partial(
        run_after_restores,
        newest_era=entry.newest_era,
        rewrite=rewrite,
        log=entry.log,
    )
    entry.executors.node.submit(_run_with_restarts, entry, keep_records)
    entry.gossip.run(timer)


def drain(entry: Entry, front: HttpServer) -> None:
    """Fail readiness probes, finish in-flight requests and close the daemon."""
    grace_s = entry.settings.bounds.grace_s
    began_s = time.monotonic()
    end_s = began_s + grace_s - SHUTDOWN_MARGIN_S
    refuse_s = end_s - ANSWER_MARGIN_S
    entry.log("stopping", grace_s=grace_s)
    entry.readiness.leave()
    front.leave()
    # In another thread: the store may take seconds to answer, and admission has to
    # close on time.
    entry.executors.node.submit(leave_fleet, entry)
    for _ in entry.timer.every(DRAIN_POLL_PERIOD_S):
        passed_s = time.monotonic() - began_s
        if passed_s >= grace_s * IDLE_CLOSE_GRACE_FRACTION:
            front.close_idle()
        if passed_s >= grace_s * ADMISSION_GRACE_FRACTION:
            entry.app.admission.close()
            entry.item_locator.stop()
            break
    while not front.wait_flushed(min(refuse_s, time.monotonic() + DRAIN_POLL_PERIOD_S)):
        front.close_idle()
        if time.monotonic() >= refuse_s:
            break
    unfinished = entry.app.context.in_progress.all()
    # A stream that has begun can get no status; its endpoint may still finish it.
    end_requests(item for item in unfinished if not item.reply.has_begun)
    # Requests accepted since the last check still need an answer.
    front.stop_accepting()
    front.wait_flushed(end_s)
    end_requests(entry.app.context.in_progress.all())
    channels = tuple(front.active_channels.values())
    log_unfinished(entry, unfinished, began_s)
    entry.log(
        "stopped",
        unfinished=len(channels),
        unread=sum(item.request is not None for item in channels),
        unflushed=sum(not item.is_flushed for item in channels),
        closed_idle=front.closed_idle,
    )
    close(entry)


def end_requests(requests: Iterable[RequestInProgress]) -> None:
    """Abort the calls of requests; their own tasks refuse them."""
    for item in requests:
        item.cancellation.cancel(CancellationCause.STOPPING)


def log_unfinished(
    entry: Entry, requests: Iterable[RequestInProgress], began_s: float
) -> None:
    """Log each request that a stop which ``began_s`` did not let finish in time.

    ``taken_s`` is relative to the stop signal; ``status`` is 0 if the client got none.
    """
    for item in requests:
        forwarded = item.forwarded
        entry.log(
            "request_unfinished",
            request=forwarded.request.id,
            taken_s=round(forwarded.request.arrived_s - began_s, 2),
            route=forwarded.rule.id,
            repeatability=forwarded.rule.repeatability.value,
            sends=forwarded.sends,
            endpoint=forwarded.endpoint or "",
            events=forwarded.progress.events,
            status=item.reply.status or 0,
        )


def leave_fleet(entry: Entry) -> None:
    """Resign leadership and remove this node's registration."""
    entry.leader_lease.resign()
    entry.retry_recorder.leave()
    entry.registration.leave()


def close(entry: Entry) -> None:
    """Stop all tasks of the daemon except those that answer clients."""
    entry.timer.close()
    entry.client.close()
    entry.store_client.close()
    entry.peers.close()
    executors = entry.executors
    for executor in (
        executors.node,
        executors.handlers,
        executors.peers,
    ):
        executor.shutdown(wait=False, cancel_futures=True)
    entry.log.close()
    entry.log.wait_written(LOG_FLUSH_TIMEOUT_S)


def watch_signals(entry: Entry) -> None:
    """Stop on SIGTERM or SIGINT and reload settings on SIGHUP.

    A second stop signal has no effect.
    """
    while True:
        received = signal.sigwait(WATCHED_SIGNALS)
        entry.log("signal", name=signal.Signals(received).name)
        if received in STOP_SIGNALS:
            entry.stop.set()
        else:
            entry.live_settings.reload_if_changed()


def _apply_limits(entry: Entry, front: HttpServer) -> None:
    rules = entry.directory.rules
    if rules is not None:
        limits = rules.limits
        front.set_limits(
            ConnectionLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )
        )


def _run_with_restarts(entry: Entry, task: Callable[[TimerService], None]) -> None:
    """Run a task until it returns; log and restart it if it fails."""
    for _ in entry.timer.every(RESTART_PERIOD_S):
        try:
            task(entry.timer)
            return
        except Exception as error:
            trace = "".join(traceback.format_exception(error)[-2:])
            entry.log("task_failed", error=repr(error), trace=trace)
            entry.metrics.count("tasks_failed")


def main() -> None:
    """Run one node with the settings file given as argument, or the platform's file.

    Exit codes: 0 stopped, 2 invalid settings, 3 port not bound.
    """
    path = Path(sys.argv[1]) if len(sys.argv) > 1 else settings_path()
    # Block signals before any thread starts, so that only `watch_signals` gets them.
    signal.pthread_sigmask(signal.SIG_BLOCK, WATCHED_SIGNALS)
    try:
        entry = make_entry(path)
    except SettingsError as error:
        print(f"camphoryard-entry: {error}", file=sys.stderr, flush=True)
        sys.exit(EXIT_SETTINGS)
    threading.Thread(target=watch_signals, args=(entry,), daemon=True).start()
    try:
        run_entry(entry)
    except ListenError as error:
        print(f"camphoryard-entry: {error}", file=sys.stderr, flush=True)
        close(entry)
        os._exit(EXIT_NOT_BOUND)
    # A normal exit would wait for threads that are blocked on endpoints or peers.
    os._exit(0)


if __name__ == "__main__":
    main()
