// The next value for each kind of change.
#include "jacinthdeck/cluster/config_change.h"

#include <algorithm>
#include <string>
#include <utility>

namespace jacinthdeck {

namespace internal {

template <typename T>
void KeepNewest(std::vector<T>& items, std::size_t limit) {
  if (items.size() > limit) {
    items.erase(items.begin(),
                items.end() - static_cast<std::ptrdiff_t>(limit));
  }
}

[[nodiscard]] Revision NextRevision(const ConfigValue& value) {
  return Revision(value.revision.raw() + 1);
}

[[nodiscard]] Result<ConfigContent> ChosenContent(const ConfigValue& stored,
                                                  const ConfigChange& change) {
  if (change.rollback_to == Revision()) {
    return change.content;
  }
  const auto found = std::ranges::find(stored.history, change.rollback_to,
                                       &HistoryRecord::revision);
  if (found == stored.history.end()) {
    return Fail(ErrorCode::kInvalidArgument, "rollback_to",
                "revision " + std::to_string(change.rollback_to.raw()) +
                    " is not in the history");
  }
  return found->content;
}

}  // namespace internal

std::optional<Revision> FindOperation(const ConfigValue& value,
                                      const OperationId& operation) {
  const auto found = std::ranges::find(value.operations, operation,
                                       &OperationRecord::operation);
  return found == value.operations.end() ? std::nullopt
                                         : std::optional(found->revision);
}

bool RemembersSince(const ConfigValue& value, Revision revision) {
  return value.operations.size() < kMaxOperations ||
         value.operations.front().revision <= revision;
}

Result<ConfigValue> ApplyChange(const ConfigValue& now_stored,
                                const ConfigChange& change) {
  // The reply to an applied change was lost, and more changes followed than the
  // value remembers: "conflict" would tell its operator that it was not
  // applied, and it would be applied a second time under a new id.
  if (change.expected < now_stored.content_revision &&
      !RemembersSince(now_stored, change.expected)) {
    return Fail(ErrorCode::kOutcomeUnknown, "operation",
                "more than " + std::to_string(kMaxOperations) +
                    " changes followed revision " +
                    std::to_string(change.expected.raw()) +
                    ", so it is not known whether this one was among them; "
                    "compare the content in force");
  }
  if (change.expected < now_stored.content_revision ||
      change.expected > now_stored.revision) {
    return Fail(ErrorCode::kConflict, "expected",
                "revision " + std::to_string(change.expected.raw()) +
                    " was expected, revision " +
                    std::to_string(now_stored.content_revision.raw()) +
                    " is in force; read it, and send the change again");
  }
  BOOST_LEAF_AUTO(content, internal::ChosenContent(now_stored, change));
  ConfigValue next = now_stored;
  next.revision = internal::NextRevision(now_stored);
  if (now_stored.content_revision != Revision()) {
    next.history.push_back({now_stored.content_revision, now_stored.content});
  }
  next.content = std::move(content);
  next.content_revision = next.revision;
  next.operations.push_back({change.operation, next.revision});
  internal::KeepNewest(next.history, kMaxHistory);
  internal::KeepNewest(next.operations, kMaxOperations);
  return next;
}

ConfigValue ChangeVoters(const ConfigValue& now_stored,
                         std::vector<NodeId> voters) {
  ConfigValue next = now_stored;
  next.revision = internal::NextRevision(now_stored);
  next.former_voters = std::move(next.voters);
  next.voters = std::move(voters);
  std::ranges::sort(next.voters);
  return next;
}

ConfigValue SettleVoters(const ConfigValue& now_stored) {
  ConfigValue next = now_stored;
  next.revision = internal::NextRevision(now_stored);
  next.former_voters.clear();
  return next;
}

}  // namespace jacinthdeck
