"""What upstreams say of their load is read whole or not at all."""

import unittest

from wigeongw.adapters.load_header import LoadFormat
from wigeongw.adapters.load_header import read_load
from wigeongw.ports.dialect import AnswerTo

PLAIN = LoadFormat("load", "cold", 1.0, counts_answered=False)
COUNTING = LoadFormat("load", "cold", 100.0, counts_answered=True)


class ReadLoadTest(unittest.TestCase):
    def test_running_leaves_out_the_request_that_is_answered(self) -> None:
        cases = (
            (PLAIN, AnswerTo.REQUEST, 3),
            (PLAIN, AnswerTo.PROBE, 3),
            (COUNTING, AnswerTo.REQUEST, 2),
            (COUNTING, AnswerTo.PROBE, 3),
            (COUNTING, AnswerTo.REJECTED, 3),
        )
        for form, answer_to, running in cases:
            with self.subTest(form=form, answer_to=answer_to):
                found = read_load(
                    form, {"load": "3,0,4,100"}, 1.0, True, answer_to
                )
                assert found is not None
                self.assertEqual(found.running, running)

    def test_figures(self) -> None:
        cases = (
            ({"load": "3,1,4,500"}, (3, 1, 4, 5.0, 0.0)),
            ({"load": "3,1,4"}, (3, 1, 4, 1.0, 0.0)),
            ({"load": "0,0,4,100", "cold": "900"}, (0, 0, 4, 1.0, 900.0)),
        )
        for headers, wanted in cases:
            with self.subTest(headers=headers):
                found = read_load(COUNTING, headers, 1.0, True, AnswerTo.PROBE)
                assert found is not None
                self.assertEqual(
                    (
                        found.running,
                        found.waiting,
                        found.slots,
                        found.slowdown,
                        found.cold_left_ms,
                    ),
                    wanted,
                )

    def test_only_probes_tell_what_is_cold(self) -> None:
        for answer_to in (AnswerTo.REQUEST, AnswerTo.REJECTED):
            with self.subTest(answer_to=answer_to):
                found = read_load(
                    COUNTING, {"load": "1,0,4,100"}, 1.0, True, answer_to
                )
                assert found is not None
                self.assertIsNone(found.cold_left_ms)

    def test_what_makes_no_sense_is_left_out(self) -> None:
        cases: tuple[dict[str, str], ...] = (
            {},
            {"load": ""},
            {"load": "1,2"},
            {"load": "a,b,c"},
            {"load": "1,0,4,100", "cold": "soon"},
        )
        for headers in cases:
            with self.subTest(headers=headers):
                found = read_load(COUNTING, headers, 1.0, True, AnswerTo.PROBE)
                self.assertIsNone(found)


if __name__ == "__main__":
    unittest.main()
