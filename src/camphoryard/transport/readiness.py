"""WSGI application that reports readiness and metrics."""

from collections.abc import Callable, Iterable

from camphoryard.transport.http_server import Environ, HttpResponse, StartResponse
from camphoryard.transport.metrics import Metrics

METRICS_PATH = "/metrics"
TEXT = "text/plain; version=0.0.4"


class ReadinessApp:
    """Answers readiness checks of the load balancer and metrics requests.

    Parameters
    ----------
    is_ready : callable
        Returns whether the node can serve.
    """

    def __init__(self, is_ready: Callable[[], bool], metrics: Metrics) -> None:
        self._is_ready = is_ready
        self._metrics = metrics
        self._is_leaving = False

    def leave(self) -> None:
        """Report the node as not ready from now on."""
        self._is_leaving = True

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; see PEP 3333."""
        status, body = "200 OK", b"ready\n"
        if environ.get("PATH_INFO") == METRICS_PATH:
            body = self._metrics.text().encode()
        elif self._is_leaving or not self._is_ready():
            status, body = "503 Service Unavailable", b"not ready\n"
        headers = [("Content-Type", TEXT), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    def refuse(self, status: int, detail: str) -> HttpResponse:
        """Return the answer to an unreadable request."""
        return HttpResponse(status, f"{detail}\n".encode(), content_type=TEXT)
