"""Join libraries to the rest: settings files, logs, metrics, tasks."""
