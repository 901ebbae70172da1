"""Command line for operators: configure and inspect the fleet."""
