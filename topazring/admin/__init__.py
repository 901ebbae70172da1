"""Let operators configure the fleet and see what it does."""
