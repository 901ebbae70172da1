"""Let simulated time pass: what is to happen lies in a heap."""

import heapq
import itertools


class SimulatedTime:
    """Hold what happens when; the first of equals was said first."""

    def __init__(self, now_ms: float):
        self.now_ms = now_ms
        self.heap: list = []
        self.order = itertools.count()

    def at(self, delay_ms: float, call, *args) -> None:
        """Have something happen later."""
        entry = (self.now_ms + delay_ms, next(self.order), call, args)
        heapq.heappush(self.heap, entry)

    def run(self, for_ms: float) -> None:
        """Let time pass."""
        until_ms = self.now_ms + for_ms
        while self.heap and self.heap[0][0] <= until_ms:
            at_ms, _, call, args = heapq.heappop(self.heap)
            self.now_ms = max(self.now_ms, at_ms)
            call(*args)
        self.now_ms = until_ms
