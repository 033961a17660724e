"""The entry daemon: starts, serves until told to stop, and drains."""

import os
import signal
import sys
import threading
import time
import traceback
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

from camphoryard.coordination.fleet.node_registration import agree_on_keys
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
ADMIT_SHARE = 0.28
"""Part of the grace time in which a stopping node still takes requests: the balancer
needs two misses, a second each, and streams last for seconds."""
IDLE_SHARE = 0.15
"""Part of the grace time after which idle connections are closed, again and again."""
CLOSING_PERIOD_S = 0.25
END_MARGIN_S = 0.4
"""Between the last answer that is waited for and the end of the grace time."""
LOG_LIMIT_S = 0.2
"""How long the last log lines may take."""
RESTART_PERIOD_S = 1.0
"""At most one new start of a failed task in this time."""


def run_entry(entry: Entry) -> None:
    """Run until told to stop, then drain.

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
    )
    ready = make_server(
        entry.readiness,
        settings.ready.host,
        settings.ready.port,
        entry.executors.node,
        entry.readiness.refuse,
    )
    entry.directory.subscribe(partial(_apply_limits, entry, front))
    servers = {"front": front, "ready": ready}
    if settings.metrics_port:
        servers["metrics"] = make_server(
            entry.readiness,
            settings.host,
            settings.metrics_port,
            entry.executors.node,
            entry.readiness.refuse,
        )
    for name, server in servers.items():
        threading.Thread(target=server.run, name=name, daemon=True).start()
    tasks: tuple[Callable[[TimerService], None], ...] = (
        *(follower.run for follower in entry.followers),
        entry.feed.run_expiry,
        entry.live.run,
        entry.duty.run,
        entry.orderer.run,
        partial(log_process_pauses, entry.log),
        partial(join_fleet, entry),
    )
    for task in tasks:
        entry.executors.node.submit(_keep_running, entry, task)
    entry.log("started", front=settings.front, zone=settings.zone)
    entry.stop.wait()
    drain(entry, front)


def join_fleet(entry: Entry, timer: TimerService) -> None:
    """Agree on keys, listen for peers, make this node known, and tell it all."""
    keys = agree_on_keys(entry.keys, entry.own_keys, timer)
    if keys is None:
        return
    public = keys.public.encode()
    entry.peers.use_keys(CurveKeys(public, keys.secret.encode(), frozenset({public})))
    entry.peers.listen(
        entry.settings.host, entry.settings.peer_ports[0], partial(handle, entry)
    )
    entry.presence.run(timer, replace(entry.lease, public_key=keys.public))
    entry.news.run(timer)


def drain(entry: Entry, front: HttpServer) -> None:
    """Let the balancer move away, finish what is under way, and end."""
    grace_s = entry.settings.bounds.grace_s
    began_s = time.monotonic()
    end_s = began_s + grace_s - END_MARGIN_S
    entry.log("stopping", grace_s=grace_s)
    entry.readiness.leave()
    front.leave()
    # Calls of the store, which may not answer for seconds: the door closes meanwhile.
    entry.executors.node.submit(leave_fleet, entry)
    for _ in entry.timer.every(CLOSING_PERIOD_S):
        passed_s = time.monotonic() - began_s
        if passed_s >= grace_s * IDLE_SHARE:
            front.close_idle()
        if passed_s >= grace_s * ADMIT_SHARE:
            entry.app.admission.close()
            entry.seeker.stop()
            break
    while not front.wait_flushed(min(end_s, time.monotonic() + CLOSING_PERIOD_S)):
        front.close_idle()
        if time.monotonic() >= end_s:
            break
    entry.log(
        "stopped",
        unfinished=len(front.active_channels),
        closed_idle=front.closed_idle,
    )
    close(entry)


def leave_fleet(entry: Entry) -> None:
    """Give the duty up and have this node's entry removed."""
    entry.duty.resign()
    entry.presence.leave()


def close(entry: Entry) -> None:
    """End every task of the daemon."""
    entry.timer.close()
    entry.client.close()
    entry.peers.close()
    executors = entry.executors
    for executor in (
        executors.node,
        executors.handlers,
        executors.connections,
        executors.peers,
    ):
        executor.shutdown(wait=False, cancel_futures=True)
    entry.log.close()
    entry.log.wait_written(LOG_LIMIT_S)


def watch_signals(entry: Entry) -> None:
    """Note each signal; a second stop signal changes nothing."""
    while True:
        received = signal.sigwait(WATCHED_SIGNALS)
        entry.log("signal", name=signal.Signals(received).name)
        if received in STOP_SIGNALS:
            entry.stop.set()
        else:
            entry.live.look()


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


def _keep_running(entry: Entry, task: Callable[[TimerService], None]) -> None:
    """Run a task until it ends; one that fails is logged and begins anew."""
    for _ in entry.timer.every(RESTART_PERIOD_S):
        try:
            task(entry.timer)
            return
        except Exception as error:
            trace = "".join(traceback.format_exception(error)[-2:])
            entry.log("task_failed", error=repr(error), trace=trace)
            entry.metrics.count("tasks_failed")


def main() -> None:
    """Run one node with the settings file named first, or the platform's own.

    Exit codes: 0 stopped, 2 settings bad, 3 a port not bound.
    """
    path = Path(sys.argv[1]) if len(sys.argv) > 1 else settings_path()
    # Blocked before any thread starts, so that only the watching one gets them.
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
    # Tasks that still wait for endpoints or peers would hold the exit up.
    os._exit(0)


if __name__ == "__main__":
    main()
