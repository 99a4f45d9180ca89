"""Generate load, audit what callers were told and report the figures."""
