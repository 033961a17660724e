"""Tests of answers over real processes."""

from standins.engine import whole_answer


class TestAnswers:
    """Whole answers."""

    def test_stream_is_whole(self, start):
        """A streamed answer has every token once and in order."""
        site = start()
        texts = list(site.stream("node-2", "meter-3b", "where can I park?", 40))
        assert "".join(texts) == whole_answer("where can I park?", 40)
