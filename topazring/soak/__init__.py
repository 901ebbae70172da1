"""Run real processes through faults and check what callers observe."""
