"""Tests of assembling complete answers."""

import pytest

from camphoryard.coordination.observing.answer_collector import AnswerCollector
from camphoryard.state.enums import Reason
from camphoryard.state.errors import RefusalError
from camphoryard.state.requests import CompletionAnswer, TokenFrame, Usage
from camphoryard.state.verdict import Verdict


def collect(texts, max_bytes, usage=None):
    """Return the answer assembled from these tokens and a final frame."""
    collector = AnswerCollector(max_bytes)
    for offset, text in enumerate(texts):
        collector.add(TokenFrame("r", offset, text))
    collector.add(TokenFrame("r", len(texts), finished=True, usage=usage))
    return collector.answer()


class TestAnswerCollector:
    """Assembly of answers."""

    def test_final_frame_is_no_token(self):
        """Texts are joined; the final frame only has the usage."""
        usage = Usage(4, 2)
        answer = collect(("a ", "b"), 100, usage)
        assert answer == CompletionAnswer("a b", 2, usage)

    def test_limit_counts_bytes(self):
        """The limit itself is allowed; one more byte is refused as having run."""
        assert collect(("é", "a"), 3).text == "éa"
        with pytest.raises(RefusalError) as caught:
            collect(("é", "a", "b"), 3)
        assert caught.value.reason is Reason.ANSWER_TOO_LARGE
        assert caught.value.verdict is Verdict.RAN
