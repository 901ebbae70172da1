"""Wrap libraries for the other packages: settings, logs, HTTP, sockets."""
