"""Generate load, audit the responses to callers and report the results."""
