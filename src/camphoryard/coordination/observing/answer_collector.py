"""Whole answers, put together from the frames of a stream."""

from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage
from camphoryard.state.verdict import Verdict


class AnswerCollector:
    """Puts the frames of one answer together; its text may have ``max_bytes``."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._texts: list[str] = []
        self._usage: Usage | None = None

    def add(self, frame: TokenFrame) -> None:
        """Add a frame; the end is no token.

        Raises
        ------
        RefusalError
            If the answer has become too large.
        """
        if frame.finished:
            self._usage = frame.usage
            return
        self._size_bytes += len(frame.text.encode())
        if self._size_bytes > self._max_bytes:
            raise RefusalError(
                Reason.ANSWER_TOO_LARGE,
                f"the answer has more than {self._max_bytes} bytes;"
                " have it streamed, or ask for fewer tokens",
                Verdict.RAN,
            )
        self._texts.append(frame.text)

    def answer(self) -> CompletionAnswer:
        """Return the whole answer."""
        return CompletionAnswer("".join(self._texts), len(self._texts), self._usage)
