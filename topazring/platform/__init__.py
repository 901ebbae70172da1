"""Translate between the proxy and the users' platform; decide nothing."""
