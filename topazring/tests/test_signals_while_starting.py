"""Send signals to real processes at defined points of their start and end."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import testtools

from topazring.bench import ports

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 30.0
# The program pauses at a point for as long as the file PAUSED exists.
HOOK = """
import atexit, os, sys, time

def pause():
    open(os.environ['PAUSED'], 'w').close()
    while os.path.exists(os.environ['PAUSED']):
        time.sleep(0.005)

class Finder:
    @staticmethod
    def find_spec(name, path=None, target=None):
        if name == os.environ['PAUSE_AT']:
            pause()

if os.environ['PAUSE_AT'] == 'exit':
    atexit.register(pause)
sys.meta_path.insert(0, Finder)
"""


class _Start:
    """Start a program that pauses at an import, or as it exits."""

    def __init__(self, test, arguments, settings, pause_at):
        directory = tempfile.TemporaryDirectory()
        test.addCleanup(directory.cleanup)
        folder = pathlib.Path(directory.name)
        self.paused = folder / 'paused'
        self.log = folder / 'log'
        file = folder / 'settings.json'
        file.write_text(json.dumps(settings))
        (folder / 'sitecustomize.py').write_text(HOOK)
        if arguments[0] != 'topazring.platform.main':
            arguments = (*arguments, str(file))
        with open(self.log, 'wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                cwd=ROOT,
                env={
                    **os.environ,
                    'PYTHONPATH': os.pathsep.join([str(folder), str(ROOT)]),
                    'TOPAZRING_SETTINGS': str(file),
                    'PAUSED': str(self.paused),
                    'PAUSE_AT': pause_at,
                },
                stdout=log,
                stderr=log,
            )
        test.addCleanup(self.kill)

    def kill(self) -> None:
        """End the process if it still runs."""
        self.process.kill()
        self.process.wait()

    def wait_until(self, holds) -> None:
        """Wait until a condition holds; fail if the process has ended."""
        until_s = time.monotonic() + TIMEOUT_S
        while not holds():
            code = self.process.poll()
            if code is not None or time.monotonic() > until_s:
                raise AssertionError(f'exit {code}: {self.log.read_text()}')
            time.sleep(0.005)

    def wait_paused(self) -> None:
        """Wait until the process has reached the point."""
        self.wait_until(self.paused.exists)

    def proceed(self) -> None:
        """Let the process go on."""
        self.paused.unlink()

    def wait_logged(self, text: str) -> None:
        """Wait until the log has a text."""
        self.wait_until(lambda: text in self.log.read_text())

    def wait_exit(self) -> int:
        """Return the exit code."""
        return self.process.wait(TIMEOUT_S)


class _SignalTests:
    """The tests of one program, with its arguments and settings."""

    # An early and a late import.
    points: tuple[str, ...]

    def start(self, pause_at: str, *arguments: str) -> _Start:
        """Start the program."""
        return _Start(
            self, arguments or self.arguments, self.settings(), pause_at
        )

    def test_reload_while_starting(self):
        """Guards against a SIGHUP during the imports that ends the process."""
        for point in self.points:
            started = self.start(point)
            started.wait_paused()
            started.process.send_signal(signal.SIGHUP)
            started.proceed()
            started.wait_logged('reload')
            started.process.send_signal(signal.SIGTERM)
            self.assertEqual(0, started.wait_exit())

    def test_stop_while_starting(self):
        """Guards against a stop during the imports that looks like a crash."""
        for point in self.points:
            for number in (signal.SIGTERM, signal.SIGINT):
                started = self.start(point)
                started.wait_paused()
                started.process.send_signal(signal.SIGHUP)
                started.process.send_signal(number)
                self.assertEqual(0, started.wait_exit())

    def test_signals_while_exiting(self):
        """Guards against signals after the loop has closed that end it."""
        for number in (None, signal.SIGTERM, signal.SIGINT):
            started = self.start('exit')
            started.wait_logged(self.running)
            started.process.send_signal(signal.SIGTERM)
            started.wait_paused()
            started.process.send_signal(signal.SIGHUP)
            if number is None:
                started.proceed()
            else:
                started.process.send_signal(number)
            self.assertEqual(0, started.wait_exit())


class PoolerTest(_SignalTests, testtools.TestCase):
    """The pooling proxy, with a store that doesn't answer."""

    arguments = ('topazring.platform.main',)
    points = ('asyncio', 'topazring.pooler.shutdown')
    running = '"start"'

    def settings(self) -> dict:
        """Return settings with new ports."""
        caller, ready, store = ports.find_free_ports(3)
        return {
            'name': 'p1',
            'data_centre': 'here',
            'caller_address': f'127.0.0.1:{caller}',
            'ready_address': f'127.0.0.1:{ready}',
            'store_address': f'127.0.0.1:{store}',
            'grace_s': 1.0,
        }


class ProxyTest(_SignalTests, testtools.TestCase):
    """The proxy, with a platform that doesn't answer."""

    arguments = ('topazring.proxy.main', 'run')
    points = ('asyncio', 'topazring.proxy.process')
    running = 'runs as incarnation'

    def settings(self) -> dict:
        """Return settings with new ports."""
        caller, hop, gossip, operator, platform = ports.find_free_ports(5)
        return {
            'name': 'p1',
            'region': 'home',
            'data_centre': 'here',
            'caller_port': caller,
            'hop_port': hop,
            'gossip_port': gossip,
            'operator_port': operator,
            'platform': {'port': platform},
        }

    def test_interrupted_check(self):
        """Guards against an interrupted check that passes for a good one."""
        for number in (signal.SIGTERM, signal.SIGINT):
            started = self.start('asyncio', 'topazring.proxy.main', 'check')
            started.wait_paused()
            started.process.send_signal(number)
            self.assertNotEqual(0, started.wait_exit())


class StandinTest(_SignalTests, testtools.TestCase):
    """The stand-in of the platform."""

    arguments = ('topazring.standin.main', 'platform')
    points = ('asyncio', 'topazring.standin.upstream')
    running = 'listening on port'

    def settings(self) -> dict:
        """Return settings with a new port."""
        return {'port': ports.find_free_port()}
