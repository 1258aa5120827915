// What must hold for the configuration.
#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/cluster/config_codec.h"
#include "scenario/checker.h"
#include "scenario/world.h"

namespace jacinthdeck::scenario {

namespace {

[[nodiscard]] bool MeansNotApplied(ChangeState state) noexcept {
  return state == ChangeState::kConflict ||
         state == ChangeState::kUnavailable ||
         state == ChangeState::kTooLarge || state == ChangeState::kInvalid;
}

}  // namespace

void Checker::CheckStoredConfig() {
  std::string text = m_world.store().ValueOf(kConfigKey);
  if (text.empty() || text == m_stored) {
    return;
  }
  m_stored = std::move(text);
  const auto read = Capture([&] { return DecodeConfig(m_stored); });
  const auto* value = std::get_if<ConfigValue>(&read);
  if (value == nullptr) {
    throw ScenarioFailure("the stored configuration cannot be read");
  }
  if (value->revision <= m_stored_revision) {
    throw ScenarioFailure("the stored revision went back");
  }
  m_stored_revision = value->revision;
  for (const OperationRecord& record : value->operations) {
    const std::string& operation = record.operation.raw();
    const auto [known, fresh] =
        m_operations.emplace(operation, record.revision);
    const auto [winner, first] = m_winners.emplace(record.revision, operation);
    if (known->second != record.revision || winner->second != operation) {
      throw ScenarioFailure("applied twice, or two winners: " + operation);
    }
    if (m_told_not_applied.contains(operation)) {
      throw ScenarioFailure("told as not applied, and applied: " + operation);
    }
  }
}

void Checker::CheckChanges() {
  for (std::size_t id = 0; id < m_world.changes().size(); ++id) {
    const ChangeRecord& change = *m_world.changes()[id];
    if (!change.reply || !m_replied.insert(id).second) {
      continue;
    }
    const auto applied = m_operations.find(change.operation);
    if (change.reply->state == ChangeState::kAccepted) {
      if (applied == m_operations.end() ||
          applied->second != change.reply->revision) {
        throw ScenarioFailure("accepted, and not in the store: " +
                              change.operation);
      }
      m_accepted = std::max(m_accepted, change.reply->revision);
    }
    if (MeansNotApplied(change.reply->state)) {
      if (applied != m_operations.end()) {
        throw ScenarioFailure("told as not applied, and applied: " +
                              change.operation);
      }
      m_told_not_applied.insert(change.operation);
    }
  }
}

// A node that would answer now has every accepted revision.
void Checker::CheckNodes() {
  for (const NodeSlot& slot : m_world.nodes()) {
    if (!slot.core || slot.paused) {
      continue;
    }
    const Revision revision = slot.core->cluster().config().revision();
    Revision& highest = m_revisions[slot.life];
    if (revision < highest) {
      throw ScenarioFailure("a node went back to an older revision");
    }
    highest = revision;
    const bool serves =
        slot.core->cluster().StateAt(m_world.now()) == ServeState::kServing;
    if (serves && revision < m_accepted) {
      throw ScenarioFailure("a node serves without an accepted revision");
    }
  }
}

}  // namespace jacinthdeck::scenario
