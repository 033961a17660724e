"""A short soak of entry daemons with a fixed seed; longer ones are run by hand."""

from faults.entry_soak import run_soak

SEED = 1
MINUTES = 0.4
RESTARTS_SEED = 12
RESTARTS_MINUTES = 0.3
TAKEOVER_SEED = 401
TAKEOVER_MINUTES = 0.35


class TestEntrySoak:
    """Faults in series and overlapping."""

    def test_short_soak_breaks_no_rule(self):
        """The command that repeats it: make faults FRONT=entry SEED=1 MINUTES=0.4."""
        assert run_soak(SEED, MINUTES, nodes=3) == []

    def test_copies_of_refusals_at_a_shared_address_are_not_taken_for_answers(self):
        """Guards against refusing or repeating a request that an endpoint runs."""
        kinds = ("AddressIsTakenOver",)
        assert run_soak(TAKEOVER_SEED, TAKEOVER_MINUTES, 4, kinds) == []

    def test_restarts_of_all_nodes_do_not_renew_the_retry_budget(self):
        """Guards against retries beyond the fleet's budget after restarts."""
        kinds = ("FleetRestartsInTrouble",)
        assert run_soak(RESTARTS_SEED, RESTARTS_MINUTES, 6, kinds) == []
