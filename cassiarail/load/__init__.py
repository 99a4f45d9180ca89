"""Generate load and measure what the system makes of it."""
