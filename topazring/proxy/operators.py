"""Show operators and the balancer how this proxy is, over HTTP."""

import collections.abc
import dataclasses
import json

from tornado import web

__all__ = ['routes']


class _Handler(web.RequestHandler):
    def initialize(self, proxy) -> None:
        self.proxy = proxy

    def write_json(self, value: object) -> None:
        """Answer with JSON."""
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(value))


class HealthHandler(_Handler):
    """Say live, ready or leaving; 503 when the balancer is to pass by."""

    def get(self) -> None:
        state = self.proxy.health()
        if state != 'ready':
            self.set_status(503)
        self.write_json({'state': state})


class MetricsHandler(_Handler):
    """Show the metrics in the Prometheus text format."""

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.proxy.metrics.render())


class StatusHandler(_Handler):
    """Show what this proxy knows and how old that is."""

    def get(self) -> None:
        self.write_json(self.proxy.status())


class ExplainHandler(_Handler):
    """Show what was decided about a database here, and why."""

    def get(self, database: str) -> None:
        owner = self.proxy.ownership.owners.get(database)
        if owner is None:
            self.set_status(404)
            self.write_json({'error': f'{database} is not owned here'})
            return
        self.write_json(
            {
                'state': owner.describe(),
                'explanations': [
                    dataclasses.asdict(e) for e in owner.explanations
                ],
            }
        )


def routes(proxy) -> collections.abc.Sequence[tuple]:
    """Return the routes of the operators' port."""
    shared = {'proxy': proxy}
    return [
        ('/health', HealthHandler, shared),
        ('/metrics', MetricsHandler, shared),
        ('/status', StatusHandler, shared),
        ('/explain/(.+)', ExplainHandler, shared),
    ]
