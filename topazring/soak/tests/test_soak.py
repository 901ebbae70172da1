"""Run a soak of real processes, and interrupt one."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import testtools

from topazring.platform.tests import soak_stage
from topazring.soak import report
from topazring.soak import schedules
from topazring.soak import soaks

ROOT = pathlib.Path(__file__).resolve().parents[3]
# Upstreams that crash, go silent and are cut off, and a service in trouble.
SEED = 1
SECONDS = 14.0
FAMILIES = ('service', 'upstreams')
PROXIES = 3
STARTS_S = 30.0
ENDS_S = 20.0


class SoakTest(testtools.TestCase):
    """A short soak finds no broken promise."""

    def test_seed(self):
        schedule = schedules.draw(SEED, SECONDS, FAMILIES)
        with tempfile.TemporaryDirectory() as folder:
            stage = soak_stage.Stage(schedule, PROXIES, folder)
            outcome = asyncio.run(soaks.run_schedule(stage, schedule))
            text = report.render(outcome, stage.logs())
            self.assertEqual([], outcome.violations, text)
            self.assertEqual([], outcome.failed, text)
        # Otherwise the soak would have looked at nothing.
        for what in ('write done', 'commit done', 'read done'):
            self.assertGreater(outcome.counts.get(what, 0), 10, text)
        self.assertGreater(outcome.counts['led'], 1, text)


class InterruptionTest(testtools.TestCase):
    """Whatever a soak started ends with it."""

    def test_terminated(self):
        self.interrupt(signal.SIGTERM)

    def test_interrupted(self):
        self.interrupt(signal.SIGINT)

    def interrupt(self, number: signal.Signals) -> None:
        """Interrupt a soak once its proxies run; look for them after it."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        words = ['soak', '--seed', '1', '--seconds', '60', '--quiet']
        soak = subprocess.Popen(
            [sys.executable, '-m', 'topazring.load.main', *words],
            cwd=ROOT,
            env={**os.environ, 'TMPDIR': folder.name},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(soak.kill)
        until_s = time.monotonic() + STARTS_S
        found: list[int] = []
        while len(found) < PROXIES and time.monotonic() < until_s:
            time.sleep(0.1)
            found = children(soak.pid)
        self.assertEqual(PROXIES, len(found))
        soak.send_signal(number)
        soak.wait(ENDS_S)
        left = [pid for pid in found if pathlib.Path(f'/proc/{pid}').exists()]
        self.assertEqual([], left)


def children(pid: int) -> list[int]:
    """Return the processes that a process started and that live."""
    path = pathlib.Path(f'/proc/{pid}/task/{pid}/children')
    return [int(each) for each in path.read_text().split()]
