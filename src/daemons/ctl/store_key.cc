// Compare and swap, with a second look after a lost reply.
#include "ctl/store_key.h"

#include <algorithm>
#include <optional>
#include <variant>

namespace jacinthdeck::ctl {

namespace {

//! What the store holds of a key; revision 0 if nothing.
[[nodiscard]] Result<StoreChange> ReadKey(const Session& session,
                                          const std::string& key) {
  BOOST_LEAF_AUTO(items, session.ReadStore());
  const auto found = std::ranges::find(items, key, &StoreChange::key);
  return found == items.end() ? StoreChange{key, {}, std::nullopt} : *found;
}

}  // namespace

ExitCode WriteKey(Session& session,
                  const std::string& key,
                  const std::string& value) {
  const auto before = Capture([&] { return ReadKey(session, key); });
  if (const auto* error = std::get_if<Error>(&before)) {
    return session.Fail(*error);
  }
  const StoreAck ack = session.Swap(key, value, std::get<0>(before).position);
  if (ack.status == StoreStatus::kOk) {
    session.out() << "written: hosts take it within seconds\n";
    return ExitCode::kDone;
  }
  if (ack.status == StoreStatus::kConflict ||
      ack.status == StoreStatus::kBusy) {
    return session.Fail(ExitCode::kRefused, "not written: " + ack.problem,
                        "look at what is there, then try again");
  }
  const auto after = Capture([&] { return ReadKey(session, key); });
  const auto* read = std::get_if<StoreChange>(&after);
  if (read != nullptr && read->value == value) {
    session.out() << "written: hosts take it within seconds\n";
    return ExitCode::kDone;
  }
  return session.Fail(ExitCode::kUnknown,
                      "the store gave no reply: " + ack.problem,
                      "the write may still take effect; look again later");
}

}  // namespace jacinthdeck::ctl
