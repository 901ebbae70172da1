"""Start fleets of real processes for demos, tests and measurements."""
