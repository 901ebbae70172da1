"""Tests of settings files, command lines and sample files."""

import pathlib
import subprocess
import sys

import json5
import testtools

from topazring import catalogue
from topazring.plumbing import settings_file
from topazring.proxy import settings

ROOT = pathlib.Path(__file__).resolve().parents[2]
GOOD = (ROOT / 'settings/ballinure/p1.json').read_text()


def run(module, *arguments):
    """Run a program; return its exit code, stdout and stderr."""
    completed = subprocess.run(
        [sys.executable, '-m', module, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return completed.returncode, completed.stdout, completed.stderr


class TestSettings(testtools.TestCase):
    """An error names the file, the key and the reason; nothing starts."""

    def read_settings(self, text):
        return settings_file.read_text(text, settings.ProxySettings, 'a.json')

    def settings_error(self, text):
        error = self.assertRaises(
            settings_file.SettingsError, self.read_settings, text
        )
        self.assertNotIn('\n', str(error))
        return str(error)

    def test_samples(self):
        for path in (ROOT / 'settings').glob('*/p*.json'):
            if path.name == 'profiles.json':
                continue
            settings_file.read_settings(str(path), settings.ProxySettings)
        for path in (ROOT / 'settings').glob('*/[cl]*.json'):
            catalogue.check('database', json5.loads(path.read_text()))
        for path in (ROOT / 'settings').glob('*/profiles.json'):
            for value in json5.loads(path.read_text()).values():
                catalogue.check('profile', value)

    def test_unknown_key(self):
        text = GOOD.replace('heartbeat_ms', 'heartbeat_s')
        self.assertIn('a.json: heartbeat_s: Extra', self.settings_error(text))

    def test_wrong_unit(self):
        text = GOOD.replace('heartbeat_ms: 200', 'heartbeat_ms: 0.2')
        self.assertIn('a.json: heartbeat_ms:', self.settings_error(text))

    def test_missing_field(self):
        text = GOOD.replace('hop_port: 7002,', '')
        self.assertIn(
            'a.json: hop_port: Field required', self.settings_error(text)
        )

    def test_not_json(self):
        self.assertIn('a.json: is not JSON', self.settings_error('{name:'))

    def test_not_a_mapping(self):
        self.assertIn('a.json: (whole)', self.settings_error('[]'))

    def test_check_command(self):
        path = str(ROOT / 'settings/dizon/p1.json')
        code, out, _ = run('topazring.proxy.main', 'check', path)
        self.assertEqual(0, code)
        self.assertIn('ok', out)

    def test_run_with_bad_settings(self):
        for module in ('topazring.proxy.main', 'topazring.standin.main'):
            command = 'run' if 'proxy' in module else 'upstream'
            code, out, err = run(module, command, '/nonexistent.json')
            self.assertEqual((2, ''), (code, out))
            self.assertEqual(1, err.count('\n'))
            self.assertIn('/nonexistent.json: cannot be read', err)


class TestAdmin(testtools.TestCase):
    """Bad input is reported in one line, with an exit code."""

    def test_validate(self):
        code, out, _ = run(
            'topazring.admin.main',
            'validate',
            'profile',
            '{max_staleness_ms: 5}',
        )
        self.assertEqual(0, code)
        self.assertIn('"max_staleness_ms": 5', out)

    def test_bad_input(self):
        cases = (
            (('validate', 'profile', '{max_staleness_s: 5}'), 'Extra'),
            (('validate', 'zebra', '{}'), 'unknown kind'),
            (('get', 'profile', 'a', '--platform', 'x'), 'want HOST:PORT'),
            (('validate', 'profile', '@/nonexistent'), 'No such file'),
        )
        for arguments, text in cases:
            code, _, err = run('topazring.admin.main', *arguments)
            self.assertEqual(2, code, err)
            self.assertIn(text, err)
            self.assertEqual(1, err.count('\n'))

    def test_service_unreachable(self):
        code, _, err = run(
            'topazring.admin.main',
            'get',
            'profile',
            'a',
            '--platform',
            '127.0.0.1:9',
        )
        self.assertEqual(4, code)
        self.assertIn('the service is away', err)

    def test_help(self):
        for part in ('proxy', 'admin', 'standin', 'load'):
            code, out, _ = run(f'topazring.{part}.main', '--help')
            self.assertEqual(0, code)
            self.assertIn('Subcommands', out)
