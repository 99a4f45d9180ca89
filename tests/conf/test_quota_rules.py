"""Test that the rules of quotas come from the settings, where they are set."""

from cassiarail.conf.edge import read_quota_rules
from cassiarail.limits.quota_bounds import DEFAULT_RULES, QuotaRules


def test_rules_are_read_from_the_bounds():
    bounds = {'quota_window_s': 5, 'quota_excess': 0.2, 'quota_slack': 100}
    assert read_quota_rules({'bounds': bounds}) == QuotaRules(5, 0.2, 100)
    assert read_quota_rules({'bounds': {}}) == DEFAULT_RULES
