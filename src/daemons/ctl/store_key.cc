// Writes a key by compare-and-swap and reads it again after a lost reply.
#include "ctl/store_key.h"

#include <algorithm>
#include <optional>
#include <variant>

namespace jacinthdeck::ctl {

namespace {

//! Reads a key with its position; revision 0 and no value if the store does not
//! have it.
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
  const StoreAck ack =
      session.CompareAndSwap(key, value, std::get<0>(before).position);
  if (ack.status == StoreStatus::kOk) {
    session.out() << "written: hosts take it within seconds\n";
    return ExitCode::kDone;
  }
  if (ack.status == StoreStatus::kConflict ||
      ack.status == StoreStatus::kBusy) {
    return session.Fail(
        ExitCode::kRefused, "not written: " + ack.problem,
        "read the current content of the store, then try again");
  }
  const auto after = Capture([&] { return ReadKey(session, key); });
  const auto* read = std::get_if<StoreChange>(&after);
  if (read != nullptr && read->value == value) {
    session.out() << "written: hosts take it within seconds\n";
    return ExitCode::kDone;
  }
  return session.Fail(
      ExitCode::kUnknown, "the store gave no reply: " + ack.problem,
      "the write may still take effect; check later whether it did");
}

}  // namespace jacinthdeck::ctl
