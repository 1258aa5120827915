// Members of a line are separated by one blank. The reason is the last, because
// that of a target has blanks.
#include "soak/call_log.h"

#include <fstream>

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck::soak {

namespace {

constexpr NameTable<CallKind, 5> kCallKindNames{
    {"claim", "lookup", "query", "public", "slow"}};

[[nodiscard]] std::string WordOf(const std::string& text) {
  return text.empty() ? "-" : text;
}

}  // namespace

void WriteCalls(const std::string& path, const History& history) {
  std::ofstream file(path);
  for (const Call& call : history.calls) {
    file << call.id << ' ' << kCallKindNames.Name(call.kind) << ' '
         << call.entry << ' ' << call.sent.time_since_epoch().count() << ' '
         << call.ended.time_since_epoch().count() << ' ' << call.status << ' '
         << WordOf(call.credentials.key) << ' '
         << WordOf(call.credentials.forged_account) << ' '
         << WordOf(call.reason) << '\n';
  }
}

}  // namespace jacinthdeck::soak
