"""Decide for groups whose writes wait for a replica's receipt."""
