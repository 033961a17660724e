"""A short soak of entry daemons with a fixed seed; longer ones are run by hand."""

from faults.entry_soak import run_soak

SEED = 1
MINUTES = 0.4
RESTARTS_SEED = 12
RESTARTS_MINUTES = 0.3
COPIES_SEED = 401
COPIES_MINUTES = 0.35
LIMITS_SEED = 501
LIMITS_MINUTES = 0.4


class TestEntrySoak:
    """Faults in series and overlapping."""

    def test_short_soak_breaks_no_rule(self):
        """The command that repeats it: make faults FRONT=entry SEED=1 MINUTES=0.4."""
        assert run_soak(SEED, MINUTES, nodes=3) == []

    def test_restarts_of_all_nodes_do_not_renew_the_retry_budget(self):
        """Guards against retries beyond the fleet's budget after restarts."""
        kinds = ("FleetRestartsInTrouble",)
        assert run_soak(RESTARTS_SEED, RESTARTS_MINUTES, 6, kinds) == []

    # Guards against REFUSED and TWICE: the copy of a refusal was taken for the answer
    # to the request that was under way again on the same connection.
    def test_copied_refusals_are_told_from_answers(self):
        """An endpoint that took over an address declines, and then runs the request."""
        kinds = ("AddressIsTakenOver",)
        assert run_soak(COPIES_SEED, COPIES_MINUTES, 4, kinds) == []

    # Guards against LIMIT: endpoints got more requests than the limit they had named.
    def test_limits_of_endpoints_hold_over_all_nodes(self):
        """They stay, rise, fall, end and come back, at some or all of a service."""
        kinds = ("ReplicaNamesLimit",)
        assert run_soak(LIMITS_SEED, LIMITS_MINUTES, 4, kinds) == []
