"""Simulate time with a heap of scheduled calls."""

import heapq
import itertools


class SimulatedTime:
    """Hold scheduled calls; calls at equal times run in scheduling order."""

    def __init__(self, now_ms: float):
        self.now_ms = now_ms
        self.heap: list = []
        self.order = itertools.count()

    def at(self, delay_ms: float, call, *args) -> None:
        """Schedule a call after a delay."""
        entry = (self.now_ms + delay_ms, next(self.order), call, args)
        heapq.heappush(self.heap, entry)

    def run(self, for_ms: float) -> None:
        """Advance time and run the calls that are due."""
        until_ms = self.now_ms + for_ms
        while self.heap and self.heap[0][0] <= until_ms:
            at_ms, _, call, args = heapq.heappop(self.heap)
            self.now_ms = max(self.now_ms, at_ms)
            call(*args)
        self.now_ms = until_ms
