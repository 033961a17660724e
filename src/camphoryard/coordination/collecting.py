"""Whole answers, put together from the frames of a stream."""

from collections.abc import Generator
from contextlib import closing

from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage
from camphoryard.state.verdict import Verdict


def collect(
    frames: Generator[TokenFrame, None, None], max_bytes: int
) -> CompletionAnswer:
    """Return the whole answer.

    Raises
    ------
    RefusalError
        If its text has more than ``max_bytes``, or as the frames do.
    """
    texts: list[str] = []
    tokens = 0
    size_bytes = 0
    usage: Usage | None = None
    with closing(frames):
        for frame in frames:
            if frame.finished:
                usage = frame.usage
                break
            size_bytes += len(frame.text.encode())
            if size_bytes > max_bytes:
                raise RefusalError(
                    Reason.ANSWER_TOO_LARGE,
                    f"the answer has more than {max_bytes} bytes;"
                    " have it streamed, or ask for fewer tokens",
                    Verdict.RAN,
                )
            texts.append(frame.text)
            tokens += 1
    return CompletionAnswer("".join(texts), tokens, usage)
