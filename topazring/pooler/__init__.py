"""Serve callers' sessions over shared connections to upstreams."""
