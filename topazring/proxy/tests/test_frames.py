"""Test the validation of callers' frames."""

import json

import testtools

from topazring.proxy import frames


class ParametersTest(testtools.TestCase):
    """An upstream gets the parameters that its caller sent."""

    def parse(self, text: str) -> list:
        """Return the parsed parameters, given as JSON."""
        fields = f'"type":"read","id":1,"statement":"s","parameters":[{text}]'
        return frames.parse('{' + fields + '}').parameters

    def test_numbers_that_cannot_be_sent(self):
        """Guards against a request without an answer.

        An integer that fits in no frame raised where requests are forwarded;
        NaN and infinity reached the upstream as null.
        """
        numbers = (2**63, 2**64, -(2**63) - 1, 10**30)
        for text in (*map(str, numbers), 'NaN', 'Infinity', '-1e999'):
            error = self.assertRaises(frames.FrameError, self.parse, text)
            self.assertEqual(1, error.frame_id)

    def test_values_that_can_be_sent(self):
        """All other values arrive as they are."""
        values = [2**63 - 1, -(2**63), 0, True, None, 1.5, 1e300, 'NaN', '']
        parsed = self.parse(json.dumps(values)[1:-1])
        self.assertEqual(values, parsed)
        self.assertEqual(
            [type(value) for value in values],
            [type(value) for value in parsed],
        )
