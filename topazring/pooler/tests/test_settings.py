"""Test the settings of a proxy and the template that is filled for it."""

import json
import pathlib
import re
import tempfile

import hypothesis
from hypothesis import strategies
import testtools

from topazring.core.synchronous import ownership
from topazring.pooler import settings

TEMPLATE = (
    pathlib.Path(__file__).resolve().parents[3] / 'deploy' / 'settings.json'
)
FIELDS = {
    'node-name': 'p1',
    'zone': 'cork',
    'ip': '10.0.0.1',
    'listen': {
        'front': '10.0.0.1:1',
        'ready-addr': '10.0.0.1:2',
        'control': '10.0.0.1:3',
    },
    'seeds': ['10.0.0.2:3'],
    'internal-ports': [7440, 7455],
    'platform': {'address': '10.9.0.1:1'},
    'cloud-api': {'address': '10.9.0.2:1'},
    'bounds': {'config-apply-ms': 3000, 'drain-ms': 7000, 'grace-s': 6},
}
LIMITS = {
    'cpu-share': 0.36,
    'cpu-cores': 1,
    'memory-mb': 300,
    'max-fds': 4200,
    'link-mbps': 5.0,
}


def look_up(fields: dict, path: str):
    """Return a field, None if it is missing."""
    found = fields
    for part in path.split('.'):
        if isinstance(found, list):
            found = found[int(part)]
        else:
            found = (found or {}).get(part)
    return found


def fill(template: str, fields: dict) -> str:
    """Return the template with its sections and placeholders filled."""

    def section(match: re.Match) -> str:
        value = look_up(fields, match[1])
        if value is None or value is False:
            return ''
        return match[2].replace('{{.|json}}', json.dumps(value))

    def placeholder(match: re.Match) -> str:
        value = look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return '' if value is None else str(value)

    text = re.sub(r'{{#([\w.-]+)}}(.*?){{/\1}}', section, template)
    return re.sub(r'{{([\w.-]+)(\|json)?}}', placeholder, text)


class SettingsTest(testtools.TestCase):
    """A proxy reads the settings that the platform has filled in."""

    def read(self, text: str) -> settings.PoolerSettings:
        """Return the settings of a file."""
        with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
            file.write(text)
            file.flush()
            return settings.read(file.name)

    def filled(self, **limits) -> settings.PoolerSettings:
        """Return the settings of a machine with the given limits."""
        fields = {**FIELDS, 'limits': {'max-fds': 4200, **limits}}
        return self.read(fill(TEMPLATE.read_text(), fields))

    def test_template_with_all_limits(self):
        """The machine's processor, link and memory are read."""
        found = self.filled(**LIMITS)
        self.assertEqual(0.36, found.cpu_share)
        self.assertEqual(1, found.cpu_speed)
        self.assertEqual(5.0, found.link_mbps)
        self.assertEqual(300, found.memory_mb)
        self.assertEqual(4200, found.max_descriptors)
        self.assertEqual(0.25, found.weight())

    def test_template_of_a_large_machine(self):
        """A core that is several times as fast counts as several."""
        limits = {'cpu-share': 0.43, 'cpu-cores': 5, 'link-mbps': 100.0}
        self.assertEqual(2.0, self.filled(**LIMITS | limits).weight())

    @hypothesis.settings(derandomize=True, max_examples=32)
    @hypothesis.given(strategies.sets(strategies.sampled_from(list(LIMITS))))
    def test_template_without_some_limits(self, present):
        """Guards against a proxy that cannot start where a field is new."""
        limits = {name: LIMITS[name] for name in present}
        weight = self.filled(**limits).weight()
        self.assertGreaterEqual(weight, ownership.MIN_WEIGHT)
        self.assertLessEqual(weight, ownership.MAX_WEIGHT)

    def test_no_limits(self):
        """A proxy that knows nothing of its machine weighs 1."""
        self.assertEqual(1.0, self.filled().weight())

    def test_zero_is_unlimited(self):
        """Guards against a proxy that cannot start on such a machine."""
        limits = dict.fromkeys(
            ('cpu-share', 'cpu-cores', 'link-mbps', 'memory-mb'), 0
        )
        self.assertEqual(1.0, self.filled(**limits).weight())

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        *[strategies.none() | strategies.floats(0, 1e9, allow_nan=False)] * 3
    )
    def test_weights_are_bounded(self, cores, link_mbps, memory_mb):
        """Whatever a machine has, it owns some groups and not all."""
        weight = ownership.weight_of(cores, link_mbps, memory_mb)
        self.assertIn(weight, (0.25, 0.5, 1.0, 2.0))

    def test_bad_limits(self):
        """The error names the file and the field."""
        good = json.loads(
            fill(TEMPLATE.read_text(), {**FIELDS, 'limits': {'max-fds': 4200}})
        )
        for name in ('cpu_share', 'cpu_speed', 'link_mbps', 'memory_mb'):
            for bad in (-1, 'much', [1], True):
                error = self.assertRaises(
                    settings.SettingsError,
                    self.read,
                    json.dumps({**good, name: bad}),
                )
                self.assertIn(name, str(error))
                self.assertIn('.json', str(error))
                self.assertNotIn('\n', str(error))
