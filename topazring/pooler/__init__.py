"""Serve callers' sessions over connections that they share."""
