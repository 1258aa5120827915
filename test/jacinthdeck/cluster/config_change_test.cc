// Tests of the rules from one configuration value to the next.
#include "jacinthdeck/cluster/config_change.h"

#include <boost/test/unit_test.hpp>
#include <variant>

namespace jacinthdeck {

struct ChangeFixture {
  ChangeFixture() {
    stored.revision = Revision(5);
    stored.content_revision = Revision(3);
    stored.content.schema = "three";
    stored.voters = {NodeId("a")};
    change.operation = OperationId("op");
    change.expected = Revision(3);
    change.content.schema = "new";
  }

  [[nodiscard]] auto Apply() const {
    return Capture([&] { return ApplyChange(stored, change); });
  }
  [[nodiscard]] bool Conflicts() const {
    const auto result = Apply();
    const Error* error = std::get_if<Error>(&result);
    return error != nullptr && error->code == ErrorCode::kConflict;
  }

  ConfigValue stored;
  ConfigChange change;
};

BOOST_FIXTURE_TEST_SUITE(ConfigChangeTest, ChangeFixture)

BOOST_AUTO_TEST_CASE(Change_Applied_RaisesTheRevisionAndKeepsHistory) {
  const auto next = std::get<ConfigValue>(Apply());
  BOOST_TEST((next.revision == Revision(6)));
  BOOST_TEST((next.content_revision == Revision(6)));
  BOOST_TEST(next.content.schema == "new");
  BOOST_TEST((FindOperation(next, change.operation) == Revision(6)));
  BOOST_REQUIRE(next.history.size() == 1U);
  BOOST_TEST((next.history.front().revision == Revision(3)));
}

BOOST_AUTO_TEST_CASE(Change_ExpectedRevision_ConflictsOnlyWithNewContent) {
  change.expected = Revision(2);
  BOOST_TEST(Conflicts());
  change.expected = Revision(4);
  BOOST_TEST(!Conflicts());
  change.expected = Revision(6);
  BOOST_TEST(Conflicts());
}

BOOST_AUTO_TEST_CASE(Change_RollbackToAnUnknownRevision_IsInvalid) {
  change.rollback_to = Revision(1);
  const auto result = Apply();
  BOOST_TEST((std::get<Error>(result).code == ErrorCode::kInvalidArgument));
}

BOOST_AUTO_TEST_CASE(Change_ManyChanges_HistoryAndOperationsStayBounded) {
  for (std::uint64_t step = 0; step < 200; ++step) {
    change.operation = OperationId("op-" + std::to_string(step));
    change.expected = stored.revision;
    stored = std::get<ConfigValue>(Apply());
  }
  BOOST_TEST(stored.history.size() == kMaxHistory);
  BOOST_TEST(stored.operations.size() == kMaxOperations);
  BOOST_TEST(FindOperation(stored, change.operation).has_value());
}

// An operator lost the reply to an applied change; so many others followed that
// its id is forgotten. "Conflict" would say that it was not applied.
BOOST_AUTO_TEST_CASE(Change_ResentAfterItsIdIsForgotten_IsUnknown) {
  const ConfigChange lost = change;
  for (std::uint64_t step = 0; step <= kMaxOperations; ++step) {
    change.operation = OperationId(step == 0 ? "op" : std::to_string(step));
    change.expected = stored.revision;
    stored = std::get<ConfigValue>(Apply());
  }
  change = lost;
  BOOST_TEST(!FindOperation(stored, change.operation).has_value());
  const auto result = Apply();
  BOOST_TEST((std::get<Error>(result).code == ErrorCode::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(Change_Voters_KeepTheOldListUntilSettled) {
  const ConfigValue joint = ChangeVoters(stored, {NodeId("c"), NodeId("b")});
  BOOST_TEST((joint.revision == Revision(6)));
  BOOST_TEST((joint.content_revision == Revision(3)));
  BOOST_TEST((joint.voters == std::vector{NodeId("b"), NodeId("c")}));
  BOOST_TEST((joint.former_voters == std::vector{NodeId("a")}));
  const ConfigValue settled = SettleVoters(joint);
  BOOST_TEST((settled.revision == Revision(7)));
  BOOST_TEST(settled.former_voters.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
