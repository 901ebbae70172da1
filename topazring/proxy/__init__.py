"""Proxy process: entry for callers and owner of databases."""
