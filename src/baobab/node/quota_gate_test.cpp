#include "baobab/node/quota_gate.hpp"

#include "baobab/net/clock.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr WorkspaceId kWorkspace = 7;

WorkspaceSpec
Limited()
{
  WorkspaceSpec workspace;
  workspace.name = "desk";
  workspace.ratePerSecond = 10;
  return workspace;
}

/// A gate with one cell.
struct Gate
{
  Gate() { this->gate.SetCells({ { kWorkspace, this->cell } }); }

  /// Returns the reason of the refusal; nothing if the call is let in.
  std::optional<RefusalReason> Try(const WorkspaceSpec& aWorkspace = Limited())
  {
    const auto result = this->gate.Admit(aWorkspace, kWorkspace);
    const auto* refusal = std::get_if<NotRun>(&result);
    return refusal == nullptr ? std::nullopt : std::optional(refusal->reason);
  }

  RcuThreadRegistration reader;
  std::shared_ptr<QuotaCell> cell = std::make_shared<QuotaCell>();
  QuotaGate gate;
};

}

BOOST_AUTO_TEST_SUITE(quota_gate)

BOOST_AUTO_TEST_CASE(a_workspace_without_a_limit_needs_no_token)
{
  Gate gate;
  BOOST_TEST(!gate.Try(WorkspaceSpec{}).has_value());
}

BOOST_AUTO_TEST_CASE(calls_are_let_in_while_there_are_tokens)
{
  Gate gate;
  gate.cell->Add(2, Now() + 1h);
  BOOST_TEST(!gate.Try().has_value());
  BOOST_TEST(!gate.Try().has_value());
  gate.cell->Deny(Now() + 1h, 700ms);
  const auto refused = gate.gate.Admit(Limited(), kWorkspace);
  const auto* refusal = std::get_if<NotRun>(&refused);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->reason == RefusalReason::OverQuota));
  BOOST_TEST((refusal->retryAfter == 700ms));
  BOOST_TEST(gate.gate.OverQuotaCalls() == 1U);
}

BOOST_AUTO_TEST_CASE(a_call_waits_for_tokens_that_arrive)
{
  Gate gate;
  gate.gate.SetLender(true);
  gate.gate.onWaiting = [&] { gate.cell->Add(1, Now() + 1h); };
  BOOST_TEST(!gate.Try().has_value());
}

BOOST_AUTO_TEST_CASE(without_a_lender_calls_are_refused_as_not_ready)
{
  Gate gate;
  BOOST_TEST((gate.Try() == RefusalReason::NotReady));
  BOOST_TEST(gate.gate.NoLenderCalls() == 1U);
}

BOOST_AUTO_TEST_CASE(the_token_of_a_call_that_was_not_run_is_returned)
{
  Gate gate;
  gate.cell->Add(1, Now() + 1h);
  const auto admitted = gate.gate.Admit(Limited(), kWorkspace);
  BOOST_TEST(gate.cell->Tokens() == 0);
  QuotaGate::Return(std::get<QuotaTicket>(admitted));
  BOOST_TEST(gate.cell->Tokens() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
