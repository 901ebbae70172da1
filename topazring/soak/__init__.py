"""Load a fleet and measure what it does."""
