"""Tests of putting whole answers together."""

import pytest

from camphoryard.coordination.collecting import collect
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage
from camphoryard.state.verdict import Verdict


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
        whole = collect(frames("a ", "b", usage=usage), 100)
        assert whole == CompletionAnswer("a b", 2, usage)

    def test_bound_counts_bytes(self):
        """As many bytes as are taken pass; one more is refused, as having run."""
        assert collect(frames("é", "a"), 3).text == "éa"
        stream = frames("é", "a", "b")
        with pytest.raises(RefusalError) as caught:
            collect(stream, 3)
        assert caught.value.reason is Reason.ANSWER_TOO_LARGE
        assert caught.value.verdict is Verdict.RAN
        assert next(stream, None) is None
