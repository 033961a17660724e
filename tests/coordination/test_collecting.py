"""Tests of putting whole answers together."""

from camphoryard.coordination.collecting import collect
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage


def frames(*texts, usage=None):
    """Yield the tokens of an answer and its end."""
    for offset, text in enumerate(texts):
        yield TokenFrame("r", offset, text)
    yield TokenFrame("r", len(texts), finished=True, usage=usage)


class TestCollect:
    """Whole answers."""

    def test_end_is_no_token(self):
        """Texts are joined; the end only tells the usage."""
        usage = Usage(4, 2)
        assert collect(frames("a ", "b", usage=usage)) == CompletionAnswer(
            "a b", 2, usage
        )
