"""Serve callers as an entry, and databases as an owner."""
