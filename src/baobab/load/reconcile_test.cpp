#include "baobab/load/reconcile.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(reconcile)

BOOST_AUTO_TEST_CASE(finds_every_kind_of_violation)
{
  const TargetRecord record = ParseRecord("e1-1 t1 100\n"
                                          "e1-2 t1 110\n"
                                          "e1-2 t2 120\n"
                                          "e1-3 t2 130\n"
                                          "e1-4 t2 130\n"
                                          "e1-4 t2 131\n"
                                          "e0-1 t2 140\n"
                                          "#leave t2 50\n",
                                          "e1-");
  BOOST_TEST(record.runs.size() == 6);
  const std::vector<CallResult> results = {
    { 1, ReportedOutcome::Answered, false },
    { 2, ReportedOutcome::Answered, false },
    { 3, ReportedOutcome::NotRun, false },
    { 4, ReportedOutcome::Answered, true },
    { 5, ReportedOutcome::Answered, true },
    { 6, ReportedOutcome::Unknown, false },
    { 7, ReportedOutcome::Wrong, true },
  };
  const auto totals =
    Reconcile(results, record, std::chrono::milliseconds(80), true);
  BOOST_TEST(totals.calls == 7);
  BOOST_TEST(totals.answered == 4);
  BOOST_TEST(totals.doubled == 1);
  BOOST_TEST(totals.ranAfterNotRun == 1);
  BOOST_TEST(totals.neverRan == 1);
  BOOST_TEST(totals.unknown == 1);
  BOOST_TEST(totals.wrong == 1);
  BOOST_TEST(totals.newWorkAfterLeave == 1);
  BOOST_TEST(totals.HasViolations());
}

BOOST_AUTO_TEST_SUITE_END()

}
