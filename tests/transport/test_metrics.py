"""Tests of metrics."""

from camphoryard.transport.metrics import Metrics


class TestMetrics:
    """The text of the metrics."""

    def test_durations_are_summaries_in_seconds(self):
        """Each name has quantiles, a sum and a count."""
        metrics = Metrics()
        for _ in range(4):
            metrics.observe("action", 0.5)
        lines = metrics.text().splitlines()
        assert "# TYPE camphoryard_action_seconds summary" in lines
        assert "camphoryard_action_seconds_count 4" in lines
        name = 'camphoryard_action_seconds{quantile="0.99"} '
        (value,) = [line for line in lines if line.startswith(name)]
        assert abs(float(value.removeprefix(name)) - 0.5) < 0.01

    def test_durations_out_of_range_are_counted(self):
        """Durations of zero and of a day count at the ends of the range."""
        metrics = Metrics()
        metrics.observe("action", 0.0)
        metrics.observe("action", 86_400.0)
        assert "camphoryard_action_seconds_count 2" in metrics.text()

    def test_counters(self):
        """The counter has the number of events."""
        metrics = Metrics()
        metrics.count("retries")
        metrics.count("retries")
        assert "camphoryard_retries_total 2" in metrics.text().splitlines()

    def test_labels_are_escaped(self):
        """Names with quotes do not break the lines of others."""
        metrics = Metrics()
        metrics.count_labelled("of", account='a"\\', reason="x")
        line = 'camphoryard_of_total{account="a\\"\\\\",reason="x"} 1'
        assert line in metrics.text().splitlines()


class TestGauge:
    """Values read when the metrics are read."""

    def test_gauge_shows_its_current_value(self):
        """The function is called for each reading."""
        metrics = Metrics()
        ages_s = iter([1.5, 2.5])
        metrics.add_gauge("view_age_seconds", lambda: next(ages_s))
        assert "camphoryard_view_age_seconds 1.5\n" in metrics.text()
        assert "camphoryard_view_age_seconds 2.5\n" in metrics.text()
