"""Adapt the pooling proxy to the users' platform: codecs and clients only."""
