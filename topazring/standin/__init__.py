"""Test doubles of the platform, an upstream and a faulty network."""
