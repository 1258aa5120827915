// Parses control messages of the stand-in store.
#include "store/store_control.h"

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::uint64_t kMaxDelayMs = 60000;
constexpr std::uint64_t kMaxTtlMs = 600000;

[[nodiscard]] Result<Outage> ReadOutage(const JsonReader& message) {
  BOOST_LEAF_AUTO(name, message.String("outage"));
  const auto outage = kOutageNames.Find(name);
  if (!outage) {
    return Fail(ErrorCode::kCorrupt, "outage",
                "is '" + name + "', expected none, busy, drop or silent");
  }
  return *outage;
}

[[nodiscard]] Result<ControlPut> ReadControlPut(const JsonReader& item) {
  ControlPut put;
  BOOST_LEAF_ASSIGN(put.key, item.String("key"));
  BOOST_LEAF_ASSIGN(put.value, item.String("value"));
  if (item.Has("ttl_ms")) {
    BOOST_LEAF_AUTO(ttl, item.Unsigned("ttl_ms", kMaxTtlMs));
    put.ttl = std::chrono::milliseconds(ttl);
  }
  return put;
}

[[nodiscard]] Result<void> ReadChanges(const JsonReader& message,
                                       StoreControl& control) {
  if (message.Has("put")) {
    BOOST_LEAF_AUTO(items, message.Array("put"));
    for (const JsonReader& item : items) {
      BOOST_LEAF_AUTO(put, ReadControlPut(item));
      control.puts.push_back(put);
    }
  }
  if (message.Has("remove")) {
    BOOST_LEAF_AUTO(items, message.Array("remove"));
    for (const JsonReader& item : items) {
      BOOST_LEAF_AUTO(key, item.AsString());
      control.removes.push_back(key);
    }
  }
  if (message.Has("copy")) {
    BOOST_LEAF_ASSIGN(control.take_snapshot, message.Bool("copy"));
  }
  if (message.Has("restore")) {
    BOOST_LEAF_ASSIGN(control.restore, message.Bool("restore"));
  }
  if (message.Has("compact")) {
    BOOST_LEAF_ASSIGN(control.compact, message.Bool("compact"));
  }
  return {};
}

}  // namespace

Result<StoreControl> ParseStoreControl(const std::string& text,
                                       const StoreFaults& current_faults) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "control"));
  const JsonReader message(json.get(), "control");
  StoreControl control;
  control.faults = current_faults;
  if (message.Has("outage")) {
    BOOST_LEAF_ASSIGN(control.faults.outage, ReadOutage(message));
  }
  if (message.Has("delay_ms")) {
    BOOST_LEAF_AUTO(delay, message.Unsigned("delay_ms", kMaxDelayMs));
    control.faults.delay = std::chrono::milliseconds(delay);
  }
  if (message.Has("lose_reply_share")) {
    BOOST_LEAF_ASSIGN(control.faults.lose_reply_share,
                      message.Number("lose_reply_share"));
  }
  if (message.Has("reads_per_second")) {
    BOOST_LEAF_ASSIGN(control.reads_per_second,
                      message.Number("reads_per_second"));
  }
  if (message.Has("writes_per_second")) {
    BOOST_LEAF_ASSIGN(control.writes_per_second,
                      message.Number("writes_per_second"));
  }
  BOOST_LEAF_CHECK(ReadChanges(message, control));
  return control;
}

}  // namespace jacinthdeck::standins
