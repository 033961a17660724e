"""Tests of putting whole answers together."""

import pytest

from camphoryard.coordination.observing.answer_collector import AnswerCollector
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage
from camphoryard.state.verdict import Verdict


def collect(texts, max_bytes, usage=None):
    """Return the answer of some tokens and their end."""
    collector = AnswerCollector(max_bytes)
    for offset, text in enumerate(texts):
        collector.add(TokenFrame("r", offset, text))
    collector.add(TokenFrame("r", len(texts), finished=True, usage=usage))
    return collector.answer()


class TestAnswerCollector:
    """Whole answers."""

    def test_end_is_no_token(self):
        """Texts are joined; the end only tells the usage."""
        usage = Usage(4, 2)
        whole = collect(("a ", "b"), 100, usage)
        assert whole == CompletionAnswer("a b", 2, usage)

    def test_bound_counts_bytes(self):
        """As many bytes as are taken pass; one more is refused, as having run."""
        assert collect(("é", "a"), 3).text == "éa"
        with pytest.raises(RefusalError) as caught:
            collect(("é", "a", "b"), 3)
        assert caught.value.reason is Reason.ANSWER_TOO_LARGE
        assert caught.value.verdict is Verdict.RAN
