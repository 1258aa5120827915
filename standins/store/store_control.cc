// Reads control messages of the stand-in store.
#include "store/store_control.h"

#include <limits>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::uint64_t kMaxDelayMs = 60000;

[[nodiscard]] Result<Outage> ReadOutage(const JsonReader& message) {
  BOOST_LEAF_AUTO(name, message.String("outage"));
  const auto outage = kOutageNames.Find(name);
  if (!outage) {
    return Fail(ErrorCode::kCorrupt, "outage",
                "is '" + name + "', expected none, refuse or drop");
  }
  return *outage;
}

}  // namespace

Result<StoreControl> ParseStoreControl(const std::string& text,
                                       const StoreFaults& now) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "control"));
  const JsonReader message(json.get(), "control");
  StoreControl control{now, std::nullopt, std::nullopt};
  if (message.Has("outage")) {
    BOOST_LEAF_ASSIGN(control.faults.outage, ReadOutage(message));
  }
  if (message.Has("delay_ms")) {
    BOOST_LEAF_AUTO(delay, message.Unsigned("delay_ms", kMaxDelayMs));
    control.faults.delay = std::chrono::milliseconds(delay);
  }
  if (message.Has("lose_replies")) {
    BOOST_LEAF_ASSIGN(
        control.faults.lose_replies,
        message.Unsigned("lose_replies",
                         std::numeric_limits<std::uint32_t>::max()));
  }
  if (message.Has("lose_reply_share")) {
    BOOST_LEAF_ASSIGN(control.faults.lose_reply_share,
                      message.Number("lose_reply_share"));
  }
  if (message.Has("reads_per_second")) {
    BOOST_LEAF_ASSIGN(control.reads, message.Number("reads_per_second"));
  }
  if (message.Has("writes_per_second")) {
    BOOST_LEAF_ASSIGN(control.writes, message.Number("writes_per_second"));
  }
  return control;
}

}  // namespace jacinthdeck::standins
