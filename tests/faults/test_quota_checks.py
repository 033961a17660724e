"""Tests of the checks of quotas: broken limits are found, sound histories pass."""

from faults.entry_checks import APPLY_S, Attempt, Disturbance, SoakHistory, WrittenKeys
from faults.quota_checks import QUOTA_WINDOW_S, find_quota_violations

LIMIT, LOWER = 4, 2
FIRST = WrittenKeys(0.0, {}, {"a": LIMIT})
SECOND = WrittenKeys(20.0, {}, {"a": LOWER})
LATE_S = SECOND.at_s + APPLY_S + QUOTA_WINDOW_S + 1.0


def violations(sent_s, versions=(FIRST, SECOND), took_s=0.1, ran=True, **fields):
    """Return the violations if one request is sent to each node at each time."""
    attempts, lines = [], []
    for at_s in sent_s:
        id, node = f"q{len(attempts)}", f"n{len(attempts) % 3}"
        attempts.append(Attempt(id, node, "/book/1", at_s, at_s + took_s, 200))
        line = {"id": id, "account": "a", "at_s": at_s + took_s}
        lines.append({"event": "arrived", **line})
        if ran:
            lines.append({"event": "ran", **line})
    history = SoakHistory(
        attempts,
        {"r1": lines},
        keys_by_version=dict(enumerate(versions)),
        confirmed_s={n: version.at_s + 0.1 for n, version in enumerate(versions)},
        **fields,
    )
    return find_quota_violations(history)


class TestQuota:
    """Requests of an account over all nodes."""

    def test_as_many_as_allowed_in_each_window_are_sound(self):
        """They may go on after a window."""
        later_s = 10.0 + QUOTA_WINDOW_S + 0.2
        assert not violations([10.0] * LIMIT + [later_s] * LIMIT, [FIRST])

    def test_one_more_within_a_window_is_found(self):
        """Whichever nodes they went through."""
        times_s = [10.0] * LIMIT + [10.0 + QUOTA_WINDOW_S - 0.2]
        assert violations(times_s) == ["QUOTA: 5 of a, 4 allowed"]

    def test_requests_that_did_not_run_do_not_count(self):
        """Nor do those of accounts without a quota."""
        assert not violations([10.0] * (LIMIT + 1), ran=False)
        assert not violations([10.0] * 99, [WrittenKeys(0.0, {}, {"b": 1})])

    def test_requests_sent_before_the_window_do_not_count(self):
        """They were admitted in an earlier one, and waited."""
        took_s = QUOTA_WINDOW_S + 0.1
        assert not violations([10.0] * (LIMIT + 1), took_s=took_s)

    def test_a_lower_limit_binds_a_window_after_all_nodes_have_applied_it(self):
        """Not before."""
        assert not violations([LATE_S - 1.0] * LIMIT)
        assert violations([LATE_S] * LIMIT) == ["QUOTA: 4 of a, 2 allowed"]

    def test_a_lower_limit_does_not_bind_while_a_node_is_out_of_touch(self):
        """It may go on with the older one."""
        cut = Disturbance("n2", SECOND.at_s, SECOND.at_s + 1.0)
        assert not violations([LATE_S] * LIMIT, disturbances=[cut])
