"""Make property-based tests deterministic."""

from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')
