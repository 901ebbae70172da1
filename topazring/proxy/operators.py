"""Serve the state of this proxy to operators and the load balancer."""

import collections.abc
import dataclasses
import json

from tornado import web

__all__ = ['routes']


class _Handler(web.RequestHandler):
    def initialize(self, proxy) -> None:
        self.proxy = proxy

    def write_json(self, value: object) -> None:
        """Finish the response with a JSON body."""
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(value))


class HealthHandler(_Handler):
    """Report live, ready or leaving.

    The status is 503 unless ready, so that the load balancer sends no callers
    here.
    """

    def get(self) -> None:
        state = self.proxy.health()
        if state != 'ready':
            self.set_status(503)
        self.write_json({'state': state})


class MetricsHandler(_Handler):
    """Return the metrics in the Prometheus text format."""

    def get(self) -> None:
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.proxy.metrics.render())


class StatusHandler(_Handler):
    """Return the state of this proxy and the age of its information."""

    def get(self) -> None:
        self.write_json(self.proxy.status())


class ExplainHandler(_Handler):
    """Return the decisions of this owner about a database, with reasons."""

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
    """Return the HTTP routes of the operator port."""
    shared = {'proxy': proxy}
    return [
        ('/health', HealthHandler, shared),
        ('/metrics', MetricsHandler, shared),
        ('/status', StatusHandler, shared),
        ('/explain/(.+)', ExplainHandler, shared),
    ]
