"""A shared database proxy with session consistency."""
