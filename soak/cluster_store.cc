// Store faults and the writes of operators to the store.
#include <jansson.h>

#include <array>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/http/blocking_client.h"
#include "jacinthdeck/http/status.h"
#include "platform/wire_names.h"
#include "soak/cluster.h"
#include "soak/layout.h"

namespace jacinthdeck::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Longest time for the store to answer a control message.
constexpr Duration kControlTimeout = seconds(5);
//! Length of the store's outage before it returns with a copy.
constexpr Duration kRestoreOutage = milliseconds(700);
//! Configuration writes after a copy, which a restore loses. Without them the
//! revisions of the restored store would pass those from before the restore
//! within a moment, and entries that confuse the two histories would recover
//! unnoticed.
constexpr int kLostWrites = 60;
//! Messages to the store's control path that inject a fault, indexed by
//! StoreFault.
constexpr std::array kStoreFaultMessages{
    R"({"outage":"busy"})", R"({"outage":"drop"})", R"({"outage":"silent"})",
    R"({"delay_ms":800})", R"({"lose_reply_share":0.5})"};
//! Ends all store faults.
constexpr const char* kClearStoreFaultMessage =
    R"({"outage":"none","delay_ms":0,"lose_reply_share":0})";

[[nodiscard]] std::string EvacuationKey() {
  return std::string(platform::wire::kEvacuationPrefix) + kDomain;
}

}  // namespace

void Cluster::StartStore() {
  m_store = std::make_unique<Child>(
      std::vector<std::string>{ProgramPath("standins/standin_store")},
      WorkFilePath("store.log"));
  const std::string port =
      m_store->WaitForOutput(R"(listening 127\.0\.0\.1:(\d+))", kStartTimeout);
  m_store_port = static_cast<std::uint16_t>(std::stoi(port));
}

void Cluster::ControlStore(const std::string& message) {
  const ClientReply reply =
      CallAndWait({"127.0.0.1", m_store_port}, {"POST", "/control", message},
                  kControlTimeout);
  if (reply.status != http_status::kOk) {
    throw std::runtime_error("the store did not accept " + message);
  }
}

void Cluster::PutInStore(const std::string& key, const std::string& value) {
  const JsonPtr message(json_pack("{s:[{s:s, s:s}]}", "put", "key", key.c_str(),
                                  "value", value.c_str()));
  ControlStore(DumpJson(*message));
}

void Cluster::RemoveFromStore(const std::string& key) {
  const JsonPtr message(json_pack("{s:[s]}", "remove", key.c_str()));
  ControlStore(DumpJson(*message));
}

void Cluster::BeginStoreFaultPeriod() {
  if (!m_open_periods.contains("store")) {
    BeginFaultPeriods("store", EntryInstances(), FaultEffect::kPropagation);
  }
}

std::vector<std::size_t> Cluster::EntryInstances() const {
  std::vector<std::size_t> instances;
  instances.reserve(m_entries.size());
  for (const Entry& entry : m_entries) {
    instances.push_back(entry.instance);
  }
  return instances;
}

void Cluster::InjectStoreFault(const Action& action) {
  BeginStoreFaultPeriod();
  const auto fault = static_cast<std::size_t>(action.store);
  ControlStore(kStoreFaultMessages[fault]);
}

void Cluster::CompactStore(const Action& /*action*/) {
  ControlStore(R"({"compact":true})");
}

void Cluster::ClearStoreFault(const Action& /*action*/) {
  ControlStore(kClearStoreFaultMessage);
  EndFaultPeriods("store");
}

bool Cluster::IsEvacuated() const {
  return !m_evacuations.empty() &&
         m_evacuations.back().ended == TimePoint::max();
}

void Cluster::Evacuate(const Action& /*action*/) {
  if (!IsEvacuated()) {
    PutInStore(EvacuationKey(), "{}");
    m_evacuations.push_back({kDomain, Now()});
  }
}

void Cluster::EndEvacuation(const Action& /*action*/) {
  if (!IsEvacuated()) {
    return;
  }
  // The end must be recorded before the write: entries send requests to the
  // domain as soon as the store accepts it, and the check would report them.
  m_evacuations.back().ended = Now();
  RemoveFromStore(EvacuationKey());
}

void Cluster::CopyStore(const Action& /*action*/) {
  ControlStore(R"({"copy":true})");
  m_copied_accounts = m_accounts;
  for (int write = 0; write < kLostWrites; ++write) {
    RewriteConfig();
  }
}

void Cluster::RestoreStore(const Action& action) {
  if (std::exchange(m_is_restoring, true)) {
    return;
  }
  BeginStoreFaultPeriod();
  ControlStore(R"({"outage":"silent"})");
  Schedule(kRestoreOutage, [this, rewritten_after = action.rewritten_after] {
    // Another action may have ended the outage, and with it the fault period.
    BeginStoreFaultPeriod();
    if (m_options.accounts) {
      m_account_versions.push_back(
          {Now(), TimePoint::max(), m_copied_accounts});
    }
    ControlStore(R"({"restore":true})");
    ClearStoreFault({});
    Schedule(rewritten_after, [this] { RepeatLostWrites(); });
  });
}

void Cluster::RepeatLostWrites() {
  RewriteConfig();
  if (IsEvacuated()) {
    PutInStore(EvacuationKey(), "{}");
  } else {
    RemoveFromStore(EvacuationKey());
  }
  m_is_restoring = false;
}

void Cluster::RewriteConfig() {
  PutConfig(m_layouts.back().layout);
}

void Cluster::WriteConfig() {
  ++m_config_version;
  PutConfig(m_layout);
  m_layouts.push_back({m_layout, Now()});
}

}  // namespace jacinthdeck::soak
