"""Merge and print the load that several proxies report."""

import contextlib
import io
import json
import pathlib
import tempfile

import msgspec
import testtools
from tornado import httpserver
from tornado import web

from topazring.admin import exits
from topazring.admin import load_command
from topazring.admin import load_merge
from topazring.admin import load_table
from topazring.admin import proxy_calls
from topazring.bench import ports
from topazring.core.synchronous.scheduling import load_report
from topazring.pooler import load_page

CallerLoad = load_report.CallerLoad
UpstreamLoad = load_report.UpstreamLoad


def _page(proxy: str, *groups, **more) -> load_page.Page:
    return load_page.Page(proxy, 'here', 100, 10_000, list(groups), **more)


def _report(page: load_page.Page, received_s: float = 50.0):
    return proxy_calls.Report(f'{page.proxy}:1', page, received_s)


def _group(service: str, callers=(), upstreams=()):
    return load_report.GroupLoad(service, 'u1', list(callers), list(upstreams))


def _merge(*pages, failures=()) -> load_merge.Load:
    return load_merge.merge(
        [_report(page) for page in pages], failures, now_s=50.25
    )


class MergeTest(testtools.TestCase):
    """Parts of several proxies become one load."""

    def test_callers_are_summed(self):
        first = CallerLoad('old', 'tide', 3, 90, 10, 1, 0, {'overload': 2})
        second = CallerLoad(
            'old', 'tide', 1, 400, 5, 0, 1, {'overload': 1, 'quota': 7}
        )
        other = CallerLoad('old', 'reef', served=100)
        load = _merge(
            _page('p1', _group('s', [first])),
            _page('p2', _group('s', [other, second])),
        )
        (group,) = load.groups
        self.assertEqual(['p1', 'p2'], group.proxies)
        self.assertEqual(
            CallerLoad(
                'old', 'tide', 4, 400, 15, 1, 1, {'overload': 3, 'quota': 7}
            ),
            group.callers[0],
        )
        self.assertEqual('reef', group.callers[1].organisation)

    def test_upstreams_as_seen_by_several(self):
        first = UpstreamLoad(
            'u1', 'cork', True, 5, 2, 3, 4, 0, 300, busy_for_ms=20
        )
        second = UpstreamLoad(
            'u1', 'cork', False, 5, 1, 2, None, 7, 90, unreachable=True
        )
        load = _merge(
            _page('p1', _group('s', upstreams=[first])),
            _page('p2', _group('s', upstreams=[second])),
        )
        (upstream,) = load.groups[0].upstreams
        self.assertEqual(
            (5, 3, 5, 4, 7, 90, 20),
            (
                upstream.slots,
                upstream.in_flight,
                upstream.limit,
                upstream.queue,
                upstream.behind,
                upstream.position_age_ms,
                upstream.busy_for_ms,
            ),
        )
        text = '\n'.join(load_table.render(load, 0))
        self.assertIn('primary for 1 of 2', text)
        self.assertIn('unreachable for 1 of 2, busy for 20 ms', text)

    def test_groups_that_need_help_are_first(self):
        load = _merge(
            _page(
                'p1',
                _group('a', [CallerLoad('a', served=900)]),
                _group('b', [CallerLoad('b', waiting=2)]),
                _group('c', [CallerLoad('c', refused={'quota': 3})]),
                _group('d'),
            )
        )
        order = [group.service for group in load.groups]
        self.assertEqual(['c', 'b', 'a', 'd'], order)
        self.assertEqual(
            ['(3 more groups; --top 0 shows all)'],
            load_table.render(load, 1)[-1:],
        )

    def test_age_of_reports(self):
        """A report ages at the proxy and after it was received."""
        (proxy,) = _merge(_page('p1')).answered
        self.assertEqual(350, proxy.age_ms)

    def test_proxy_with_two_addresses(self):
        """Guards against counting a proxy twice."""
        group = _group('s', [CallerLoad('old', waiting=4)])
        load = _merge(_page('p1', group), _page('p1', group))
        self.assertEqual(4, load.groups[0].callers[0].waiting)
        self.assertEqual(1, len(load.answered))

    def test_closure_that_not_all_follow(self):
        """An older build ignores closures, and that has to show."""
        closure = load_page.ClosureView('upstream', 's', 'u2', 2500)
        load = _merge(_page('p1', closures=[closure]), _page('p2'))
        self.assertEqual(['p1'], load.closures[0].proxies)
        self.assertIn(
            'upstream s u2 is closed for 2.5 s more, by 1 of 2 proxies',
            load_table.render(load, 0),
        )

    def test_names_with_line_ends(self):
        """Guards against a name that looks like a row of its own."""
        name = 'a\n  b\x1b[2J'
        callers = [CallerLoad(name, name, 1), CallerLoad('c', 'd', 1)]
        closure = load_page.ClosureView('database', '', name, 2500)
        load = _merge(_page('p1', _group(name, callers), closures=[closure]))
        lines = load_table.render(load, 0)
        self.assertTrue(all(line.isprintable() for line in lines), lines)
        heading, first, second = lines[-3:]
        column = heading.index('waiting')
        self.assertEqual(['1', '1'], [first[column], second[column]])


class _Answer(web.RequestHandler):
    def initialize(self, code: int, body: bytes) -> None:
        """Set the answer."""
        self.code = code
        self.body = body

    def get(self) -> None:
        """Send the answer."""
        self.set_status(self.code)
        self.write(self.body)


class CommandTest(testtools.TestCase):
    """The command asks proxies, some of which do not answer well."""

    def ask(self, bodies: list[tuple[int, bytes]], **more):
        """Run the command; return its exit code and output."""
        found = ports.find_free_ports(len(bodies) + 1)
        addresses = [f'127.0.0.1:{port}' for port in found]

        async def fetch(addresses, path, kind, timeout_s):
            servers = []
            for port, (code, body) in zip(found, bodies, strict=False):
                handler = (path, _Answer, {'code': code, 'body': body})
                server = httpserver.HTTPServer(web.Application([handler]))
                server.listen(port, '127.0.0.1')
                servers.append(server)
            try:
                return await original(addresses, path, kind, timeout_s)
            finally:
                for server in servers:
                    server.stop()

        original = proxy_calls.fetch_reports
        self.patch(proxy_calls, 'fetch_reports', fetch)
        command = load_command.Load(addresses, **more)
        out, err = io.StringIO(), io.StringIO()
        code = 0
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                command()
            except SystemExit as exit_request:
                code = exit_request.code
        return code, out.getvalue(), err.getvalue()

    def test_missing_and_malformed_answers(self):
        """Guards against an answer that hides what is not known."""
        good = msgspec.json.encode(
            _page('p1', _group('s', [CallerLoad('old', waiting=4)]))
        )
        bad = [
            (404, b''),
            (200, b'not JSON'),
            (200, b'{"proxy": "p2"}'),
            (200, good.replace(b'"age_ms":100', b'"age_ms":-1')),
        ]
        code, out, err = self.ask([(200, good), *bad], as_json=True)
        load = json.loads(out)
        self.assertEqual(exits.EXIT_UNREACHABLE, code)
        self.assertIn('5 of 6 proxies did not answer', err)
        self.assertEqual(['p1'], [each['name'] for each in load['answered']])
        self.assertEqual(5, len(load['failed']))
        details = [each['detail'] for each in load['failed']]
        self.assertEqual(1, sum('HTTP 404' in each for each in details))
        self.assertEqual(3, sum('malformed' in each for each in details))
        self.assertEqual(4, load['groups'][0]['callers'][0]['waiting'])

    def test_file_of_addresses(self):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / 'proxies'
            file.write_text('# cork\n\n10.0.0.1:80\n10.0.0.2:80 \n')
            self.assertEqual(
                ['10.0.0.2:80', '10.0.0.1:80'],
                proxy_calls.read_addresses(['10.0.0.2:80'], str(file)),
            )

    def test_bad_input(self):
        for given, file in (
            (['10.0.0.1'], ''),
            (['10.0.0.1:0'], ''),
            ([], ''),
            ([], '/nowhere'),
        ):
            with contextlib.redirect_stderr(io.StringIO()):
                error = self.assertRaises(
                    SystemExit, proxy_calls.read_addresses, given, file
                )
            self.assertEqual(exits.EXIT_BAD_INPUT, error.code)
