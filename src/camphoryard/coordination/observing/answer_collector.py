"""Assembly of a complete answer from the frames of a stream."""

from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage
from camphoryard.state.verdict import Verdict


class AnswerCollector:
    """Assembles one answer from its frames; limits its text to ``max_bytes``."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._texts: list[str] = []
        self._usage: Usage | None = None

    def add(self, frame: TokenFrame) -> None:
        """Add a frame; the last one has the usage and no token.

        Raises
        ------
        RefusalError
            If the text exceeds the limit.
        """
        if frame.finished:
            self._usage = frame.usage
            return
        self._size_bytes += len(frame.text.encode())
        if self._size_bytes > self._max_bytes:
            raise RefusalError(
                Reason.ANSWER_TOO_LARGE,
                f"the answer has more than {self._max_bytes} bytes;"
                " stream it, or request fewer tokens",
                Verdict.RAN,
            )
        self._texts.append(frame.text)

    def answer(self) -> CompletionAnswer:
        """Return the complete answer."""
        return CompletionAnswer("".join(self._texts), len(self._texts), self._usage)
