"""The HTTP server: waitress, one task for each connection's request."""

import logging
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, TypeAlias

from waitress.server import create_server

MAX_BODY_BYTES = 1 << 20
MAX_READ_BYTES = 64 << 20
CONNECTION_LIMIT = 2000
BACKLOG = 1024

StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]
Environ: TypeAlias = dict[str, Any]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request as the handlers see it; header names are as callers write them."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer; ``body`` may be produced while it is sent."""

    status: int
    body: Iterable[bytes]
    headers: Mapping[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


class ExecutorDispatcher:
    """Runs waitress's tasks in an executor instead of its own threads."""

    def __init__(self, executor: Executor) -> None:
        self._executor = executor

    def set_thread_count(self, count: int) -> None:
        """Do nothing: the executor has its own size."""

    def add_task(self, task: Any) -> None:
        """Run a task."""
        self._executor.submit(task.service)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5) -> bool:
        """Do nothing: who made the executor shuts it down."""
        return True


def serve(app: Any, host: str, port: int, executor: ThreadPoolExecutor) -> Any:
    """Return a waitress server that is bound; its ``run`` blocks."""
    logging.getLogger("waitress").setLevel(logging.ERROR)
    return create_server(
        app,
        _dispatcher=ExecutorDispatcher(executor),
        host=host,
        port=port,
        asyncore_use_poll=True,
        connection_limit=CONNECTION_LIMIT,
        backlog=BACKLOG,
        max_request_body_size=MAX_READ_BYTES,
        clear_untrusted_proxy_headers=True,
        channel_timeout=600,
        ident=None,
    )
