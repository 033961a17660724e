"""Starts stand-ins and daemons as processes and stops them at the end."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

import zmq

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 10_000, 32_000
START_TIMEOUT_S = 120.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.02
OPERATOR_TOKEN = "operator-token"
CALLER_TOKEN = "caller-token"
SERVING = "\n[serving]\ngrace_s = 0.2\nstall_s = 1.0\n"
CALLERS = ("meter-app", "front-desk", "overnight")


RESERVATION_BY_PORT: dict[int, socket.socket] = {}


def reserve_port() -> int:
    """Return a TCP port that stays reserved until it is released or this process ends.

    The port lies below the ephemeral range, so no outgoing connection can take it
    before the started process binds it. Binding without SO_REUSEADDR reserves it
    against every other run on the machine; setting the option afterwards lets the
    started process, which sets it too, listen on the port.
    """
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        reservation = socket.socket()
        try:
            reservation.bind((HOST, port))
        except OSError:
            reservation.close()
            continue
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        RESERVATION_BY_PORT[port] = reservation
        return port


def release_port(port: int) -> None:
    """Release a reserved port."""
    reservation = RESERVATION_BY_PORT.pop(port, None)
    if reservation is not None:
        reservation.close()


@dataclass(slots=True)
class Process:
    """One process started by the fleet."""

    name: str
    port: int
    popen: subprocess.Popen[bytes]
    log: Path
    arguments: Sequence[str]
    source: Path | None = None

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def pause(self) -> None:
        """Stop the process, and wait until none of its threads runs.

        On a busy machine threads run on for some milliseconds after SIGSTOP was sent.
        """
        self.popen.send_signal(signal.SIGSTOP)
        try:
            os.waitid(os.P_PID, self.popen.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)
        except ChildProcessError:
            # The process has ended, and its exit code was taken.
            return

    def resume(self) -> None:
        """Let a paused process go on."""
        self.popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.popen.kill()
        self.popen.wait()


class StartError(Exception):
    """A process exited before it answered."""


class HttpError(Exception):
    """A request was answered with an error status."""

    def __init__(self, status: int, body: Any) -> None:
        super().__init__(f"status {status}: {body}")
        self.status = status
        self.body = body


def request(
    port: int,
    method: str,
    path: str,
    body: Any = None,
    token: str = OPERATOR_TOKEN,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> Any:
    """Send a request to a process and return the decoded body; raises HttpError."""
    connection = HTTPConnection(HOST, port, timeout=timeout_s)
    sent = {"Authorization": f"Bearer {token}", **(headers or {})}
    try:
        connection.request(
            method, path, None if body is None else json.dumps(body), sent
        )
        response = connection.getresponse()
        content = response.read()
    finally:
        connection.close()
    decoded = json.loads(content) if content[:1] in (b"{", b"[") else content.decode()
    if response.status >= 400:
        raise HttpError(response.status, decoded)
    return decoded


@dataclass(slots=True)
class Fleet:
    """Stand-ins and daemons of one run; a context manager that stops them."""

    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="camphoryard-"))
    )
    process_by_name: dict[str, Process] = field(default_factory=dict)
    peer_port_by_node: dict[str, int] = field(default_factory=dict)
    link_port_by_target: dict[str, int] = field(default_factory=dict)
    source_host_by_node: dict[str, str] = field(default_factory=dict)
    exit_codes: list[int] = field(default_factory=list)
    keys: tuple[bytes, bytes] = field(default_factory=zmq.curve_keypair)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc: object) -> None:
        for process in self.process_by_name.values():
            if process.popen.poll() is None:
                process.resume()
                process.signal(signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self.process_by_name.values():
            remaining_s = max(0.1, deadline_s - time.monotonic())
            try:
                process.popen.wait(remaining_s)
            except subprocess.TimeoutExpired:
                process.kill()
        for port in (
            *(process.port for process in self.process_by_name.values()),
            *self.peer_port_by_node.values(),
            *self.link_port_by_target.values(),
        ):
            release_port(port)

    def port(self, name: str) -> int:
        """Return the HTTP port of a process."""
        return self.process_by_name[name].port

    def journal(self, name: str) -> Path:
        """Return the file that stores an engine's log across restarts."""
        return self.folder / f"{name}.jsonl"

    def start_standin(
        self, name: str, module: str, *options: str, port: int | None = None
    ) -> int:
        """Start a stand-in, at a port that another one has left or a new one.

        Returns the port.
        """
        port = port or reserve_port()
        arguments = ["-m", f"standins.{module}", "--port", str(port), *options]
        self.start(name, port, arguments)
        return port

    def forward(self, target: str, to_port: int) -> None:
        """Route connections to a target through the link forwarder, which must run."""
        port = reserve_port()
        self.link_port_by_target[target] = port
        change = {"target": target, "port": port, "to_port": to_port}
        request(self.port("links"), "POST", "/control", change)

    def port_for_nodes(self, target: str) -> int:
        """Return the port that nodes connect to for a process."""
        return self.link_port_by_target.get(target) or self.port(target)

    def start_node(self, name: str, zone: str = "zone-a", extra: str = "") -> int:
        """Write settings for a node, start it and return its HTTP port."""
        port, peer_port = reserve_port(), reserve_port()
        if "links" in self.process_by_name:
            self.forward(name, peer_port)
            number = len(self.source_host_by_node) + 2
            self.source_host_by_node[name] = f"127.0.0.{number}"
        settings = self.folder / f"{name}.toml"
        self.peer_port_by_node[name] = peer_port
        if "[serving]" not in extra:
            extra += SERVING
        settings.write_text(self.settings(name, zone, port, peer_port) + extra)
        self.start(
            name, port, ["-m", "camphoryard.daemon", "--settings", str(settings)]
        )
        return port

    def restart(self, name: str) -> None:
        """Start a process again with its previous arguments."""
        old = self.process_by_name[name]
        self.start(name, old.port, old.arguments, old.source)

    def settings(self, name: str, zone: str, port: int, peer_port: int) -> str:
        """Return the settings of one node as TOML."""
        public, secret = (item.decode() for item in self.keys)
        tokens = "\n".join(f'{item} = "{CALLER_TOKEN}-{item}"' for item in CALLERS)
        return f"""\
[node]
id = "{name}"
zone = "{zone}"
host = "{HOST}"
http_port = {port}
peer_port = {peer_port}
source_host = "{self.source_host_by_node.get(name, "")}"

[platform]
object_api_host = "{HOST}"
object_api_port = {self.port_for_nodes("object-api")}
{self._vm_list_settings()}

[peers]
public_key = "{public}"
secret_key = "{secret}"
lease_s = 3.0
advertised_port = {self.link_port_by_target.get(name, 0)}
seeds = [{self._seeds(name, public)}]

[access]
operator_tokens = ["{OPERATOR_TOKEN}"]

[access.caller_token_by_id]
{tokens}
"""

    def _seeds(self, name: str, public: str) -> str:
        """Return the nodes started before this one as TOML inline tables."""
        return ", ".join(
            f'{{id = "{node}", host = "{HOST}",'
            f" port = {self.link_port_by_target.get(node, port)},"
            f' public_key = "{public}"}}'
            for node, port in self.peer_port_by_node.items()
            if node != name
        )

    def _vm_list_settings(self) -> str:
        if "vm-list" not in self.process_by_name:
            return ""
        return f'vm_list_host = "{HOST}"\nvm_list_port = {self.port("vm-list")}'

    def wait_ready(self, names: Sequence[str], path: str = "/livez") -> None:
        """Block until each process answers; raises TimeoutError or StartError."""
        for name in names:
            self.wait_until(lambda name=name: self._is_responding(name, path), name)

    def log_tail(self, name: str) -> str:
        """Return the last five lines of a process's log."""
        return "\n".join(self.process_by_name[name].log.read_text().splitlines()[-5:])

    def wait_until(
        self, condition: Any, description: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Block until ``condition()``; raises TimeoutError naming ``description``."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() >= deadline_s:
                raise TimeoutError(
                    f"timed out after {timeout_s} s waiting for {description}"
                )
            time.sleep(POLL_S)

    def _is_responding(self, name: str, path: str) -> bool:
        """Return whether a process answers; raises StartError if it has exited."""
        code = self.process_by_name[name].popen.poll()
        if code is not None:
            raise StartError(f"{name} exited with {code}: {self.log_tail(name)}")
        try:
            request(self.port(name), "GET", path, timeout_s=1.0)
        except (OSError, HTTPException, HttpError):
            return False
        return True

    def start(
        self,
        name: str,
        port: int,
        arguments: Sequence[str],
        source: Path | None = None,
    ) -> None:
        """Start a Python process that listens on ``port`` and writes to a log file.

        ``source`` is the folder of its packages, if they are not the installed ones.
        """
        log = self.folder / f"{name}.log"
        path = {"PYTHONPATH": str(source)} if source is not None else {}
        with log.open("ab") as stream:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=stream,
                stderr=stream,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **path},
            )
        self.process_by_name[name] = Process(name, port, popen, log, arguments, source)
