"""Whole answers, put together from the frames of a stream."""

from collections.abc import Generator
from contextlib import closing

from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage


def collect(frames: Generator[TokenFrame, None, None]) -> CompletionAnswer:
    """Return the whole answer; raises as the frames do."""
    texts: list[str] = []
    tokens = 0
    usage: Usage | None = None
    with closing(frames):
        for frame in frames:
            if frame.finished:
                usage = frame.usage
                break
            texts.append(frame.text)
            tokens += 1
    return CompletionAnswer("".join(texts), tokens, usage)
