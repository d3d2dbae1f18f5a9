"""Tests that replaying the trace of a daemon yields the same decisions."""

import json
import unittest

from standins.site_case import SiteCase
from wigeongw.decisions import trace
from wigeongw.decisions.trace import TraceError


class DecisionTraceTest(SiteCase):
    zones = ("amman",)

    async def test_trace_of_a_daemon_replays_without_differences(self) -> None:
        path = self.site.folder / "trace.jsonl"
        await self.site.start_host("traced", "amman", trace_file=str(path))
        self.hosts.append("traced")
        await self.site.wait_revision(1, ["traced"])
        await self.warm_up()
        self.site.processes["traced"].terminate()
        self.assertEqual(await self.site.processes["traced"].wait(9_000.0), 0)
        lines = path.read_text().splitlines()
        calls = {json.loads(line)["call"] for line in lines}
        expected = {"new", "set_view", "want", "heard", "done", "tick"}
        self.assertLessEqual(expected, calls)
        self.assertTrue(any('"Start"' in line for line in lines))
        self.assertEqual(list(trace.replay(lines)), [])
        altered = [line.replace('"Start"', '"Refuse"') for line in lines]
        self.assertNotEqual(list(trace.replay(altered)), [])

    async def test_invalid_trace_names_the_line(self) -> None:
        for text in ("{", '{"v": 9}', '{"v": 1, "args": []}'):
            with (
                self.subTest(text),
                self.assertRaisesRegex(TraceError, "line 1"),
            ):
                list(trace.replay([text]))


if __name__ == "__main__":
    unittest.main()
