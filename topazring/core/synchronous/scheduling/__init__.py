"""Decisions about which request runs next, where, and which is refused."""
