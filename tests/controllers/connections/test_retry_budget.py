"""Budget for retries."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from comfreystair.controllers.connections.retry_budget import RetryBudget

steps = st.tuples(st.booleans(), st.floats(0, 0.5))


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing target."""

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(steps, max_size=300))
    def test_one_organisation_leaves_the_budget_of_others(
        self, actions: list
    ) -> None:
        """Whatever its successes and failures, and at any time."""
        budget, now = RetryBudget(0), 0.0
        for is_success, passed in actions:
            now += passed
            if is_success:
                budget.record_success('failing', now)
            budget.take('failing', now)
        self.assertLessEqual(budget.made, 4 + 0.2 * len(actions) + now)
        self.assertTrue(budget.take('other', now))

    def test_lone_failure_is_retried(self) -> None:
        """Also of an organisation that never had a success."""
        budget = RetryBudget(0)
        while budget.take('lone', 0):
            self.assertLess(budget.made, 10)
        self.assertFalse(budget.take('lone', 0.5))
        self.assertTrue(budget.take('lone', 1.5))


if __name__ == '__main__':
    unittest.main()
