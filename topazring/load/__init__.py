"""Generate load on a fleet and measure its answers."""
