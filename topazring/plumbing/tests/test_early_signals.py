"""Tests of handling signals, each in a process of its own."""

import signal
import subprocess
import sys

import testtools

PRELUDE = """
import asyncio, os, signal
from topazring.plumbing import early_signals

def send(name):
    os.kill(os.getpid(), getattr(signal, name))

def run(steps):
    async def main():
        loop = asyncio.get_running_loop()
        with early_signals.handled(
            loop, lambda: print('stop'), lambda: print('reload')
        ):
            await steps()
    asyncio.run(main())
    print('left', flush=True)

async def turn():
    await asyncio.sleep(0.05)
"""


class EarlySignalsTest(testtools.TestCase):
    """No signal is lost, and none ends the process by itself."""

    def run_program(self, *lines: str) -> tuple[int, list[str]]:
        """Run a program; return its exit code and the words it printed."""
        ran = subprocess.run(
            [sys.executable, '-c', PRELUDE + '\n'.join(lines)],
            capture_output=True,
            text=True,
            timeout=30,
        )
        self.assertEqual('', ran.stderr)
        return ran.returncode, ran.stdout.split()

    def test_reload_before_the_loop(self):
        """Guards against a lost SIGHUP; several are one reload."""
        ran = self.run_program(
            'early_signals.install()',
            'send("SIGHUP")',
            'send("SIGHUP")',
            'run(turn)',
        )
        self.assertEqual((0, ['reload', 'left']), ran)

    def test_stop_before_the_loop(self):
        """Guards against a stop that waits for the start, or is swallowed."""
        for name in ('SIGTERM', 'SIGINT'):
            ran = self.run_program(
                'early_signals.install()',
                'try:',
                f'    send("{name}")',
                'except BaseException:',
                '    pass',
                'run(turn)',
            )
            self.assertEqual((0, []), ran)

    def test_signals_in_the_loop(self):
        """Guards against mixing up the callbacks."""
        ran = self.run_program(
            'early_signals.install()',
            'async def steps():',
            '    for name in ("SIGHUP", "SIGTERM", "SIGINT", "SIGHUP"):',
            '        send(name)',
            '        await turn()',
            'run(steps)',
        )
        words = ['reload', 'stop', 'stop', 'reload', 'left']
        self.assertEqual((0, words), ran)

    def test_signals_while_handed_over(self):
        """Guards against a gap between the early handlers and the loop's."""
        names = ('set_wakeup_fd', 'signal', 'pthread_sigmask')
        for call in range(6):
            for name in ('SIGHUP', 'SIGTERM', 'SIGINT'):
                code, words = self.run_program(
                    'early_signals.install()',
                    'calls = []',
                    'def wrap(function):',
                    '    def wrapped(*arguments):',
                    f'        if len(calls) == {call}:',
                    f'            send("{name}")',
                    '        calls.append(1)',
                    '        result = function(*arguments)',
                    f'        if len(calls) == {call}:',
                    f'            send("{name}")',
                    '        return result',
                    '    return wrapped',
                    f'for each in {names}:',
                    '    setattr(signal, each, wrap(getattr(signal, each)))',
                    'async def steps():',
                    '    await turn()',
                    '    calls.extend([1] * 99)',
                    'run(steps)',
                )
                self.assertEqual(0, code)
                if name == 'SIGHUP':
                    self.assertEqual(['reload', 'left'], words)
                else:
                    self.assertIn(words[:1], ([], ['stop']))

    def test_signals_after_the_loop(self):
        """Guards against a late signal that ends the process by default."""
        for name in ('SIGTERM', 'SIGINT'):
            ran = self.run_program(
                'early_signals.install()',
                'run(turn)',
                'send("SIGHUP")',
                'print("on", flush=True)',
                f'send("{name}")',
                'print("not reached")',
            )
            self.assertEqual((0, ['left', 'on']), ran)

    def test_nothing_on_import(self):
        """Guards against handlers in a process that only imports a main."""
        code, _ = self.run_program(
            'from topazring.platform import main, program',
            'send("SIGTERM")',
        )
        self.assertEqual(-signal.SIGTERM, code)
