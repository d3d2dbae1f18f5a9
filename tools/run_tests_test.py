"""Tests which tests count as failed."""

import unittest

from tools.run_tests import failed_tests


class Sample(unittest.TestCase):
    """Runs only below, as no name of a method starts with ``test``."""

    def passing(self) -> None:
        pass

    def failing(self) -> None:
        self.fail()

    def failing_in_two_subtests(self) -> None:
        for number in range(3):
            with self.subTest(number):
                self.assertEqual(number, 1)


class FailedTestsTest(unittest.TestCase):
    def test_failed_subtests_count_as_several_tests(self) -> None:
        """More tests had failed than were run, and no entry of a known
        failure matched them.
        """
        result = unittest.TestResult()
        names = ("passing", "failing", "failing_in_two_subtests")
        for name in names:
            Sample(name).run(result)
        self.assertEqual(
            failed_tests(result), {Sample(name).id() for name in names[1:]}
        )


if __name__ == "__main__":
    unittest.main()
