"""Checks of the configuration soak, on answers that are written by hand."""
import unittest

import faults
from config_checks import Answer, Checks
from config_fleet import (Disturbance, cut_store_path, drop_history,
                          kill_store)


def answer(route, status, sent, life=1):
    return Answer(1, life, "new", route, status, sent, sent + 0.01, "")


def disturbance(fault, hosts, began, ended):
    result = Disturbance(fault, hosts)
    result.began, result.ended = began, ended
    return result


class ChecksTest(unittest.TestCase):
    def count(self, answers, disturbances=()):
        # Versions 5, 6 and 7, acknowledged 0.1 s after the first attempt.
        checks = Checks({5: 10, 6: 11, 7: 12}, {5: 10.1, 6: 11.1, 7: 12.1},
                        disturbances)
        return len(checks.run(answers))

    def test_dropped_route_is_served_late(self):
        self.assertEqual(self.count([answer(5, 200, 14.05)]), 0)
        self.assertEqual(self.count([answer(5, 200, 14.15)]), 1)

    def test_new_route_is_refused_late(self):
        self.assertEqual(self.count([answer(7, 404, 14.05)]), 0)
        self.assertEqual(self.count([answer(7, 404, 14.15)]), 1)

    def test_route_that_a_newer_version_dropped_may_be_refused(self):
        self.assertEqual(self.count([answer(5, 404, 14.15)]), 0)

    def test_other_answers_say_nothing(self):
        self.assertEqual(self.count([answer(7, 503, 14.15)]), 0)

    def test_host_out_of_touch_until_3_s_after(self):
        for fault in kill_store, faults.kill_daemon:
            around = [disturbance(fault, {1}, 11, 13)]
            self.assertEqual(self.count([answer(5, 200, 15.9)], around), 0)
            self.assertEqual(self.count([answer(5, 200, 16.1)], around), 1)

    def test_other_host_disturbed(self):
        around = [disturbance(faults.kill_daemon, {2}, 11, 13)]
        self.assertEqual(self.count([answer(5, 200, 14.15)], around), 1)

    def test_calm_fault(self):
        around = [disturbance(drop_history, set(), 13, 13)]
        self.assertEqual(self.count([answer(5, 200, 14.15)], around), 1)

    def test_store_that_turns_others_away_gives_5_s_more(self):
        around = [disturbance(cut_store_path, {2}, 11, 30)]
        self.assertEqual(self.count([answer(5, 200, 19.05)], around), 0)
        self.assertEqual(self.count([answer(5, 200, 19.15)], around), 1)

    def test_goes_back(self):
        shown = answer(7, 200, 12.2)
        self.assertEqual(self.count([shown, answer(5, 200, 12.4)]), 0)
        self.assertEqual(self.count([shown, answer(5, 200, 12.5)]), 1)
        self.assertEqual(self.count([shown, answer(7, 404, 12.5)]), 1)
        self.assertEqual(self.count([shown, answer(5, 200, 12.5, 2)]), 0)

    def test_goes_back_while_out_of_touch(self):
        around = [disturbance(kill_store, {1}, 11, 30)]
        answers = [answer(7, 200, 12.2), answer(5, 200, 12.5)]
        self.assertEqual(self.count(answers, around), 1)

    def test_goes_back_after_a_pause(self):
        around = [disturbance(faults.pause_daemon, {1}, 12, 13)]
        shown = answer(7, 200, 12.2)
        self.assertEqual(self.count([shown, answer(5, 200, 14.1)], around), 0)
        self.assertEqual(self.count([shown, answer(5, 200, 14.3)], around), 1)


if __name__ == "__main__":
    unittest.main()
