"""Stand in for the platform and for upstreams, in tests and trials."""
