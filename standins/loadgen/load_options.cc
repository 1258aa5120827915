// Bounds on addresses, rate, count and time.
#include "loadgen/load_options.h"

namespace jacinthdeck::standins {

namespace {

constexpr double kMaxRate = 20000;
constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr std::uint64_t kMaxSeconds = 600;
constexpr std::uint64_t kMaxInFlight = 10000;

}  // namespace

Result<std::vector<Endpoint>> CheckLoadOptions(const LoadOptions& options) {
  std::vector<Endpoint> entries;
  for (const std::string& text : options.entries) {
    BOOST_LEAF_AUTO(entry, Endpoint::Parse(text));
    if (!entry.address.starts_with("127.")) {
      return Fail(ErrorCode::kInvalidArgument, text,
                  "load goes to loopback addresses only");
    }
    entries.push_back(entry);
  }
  if (entries.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "entry", "none is given");
  }
  if (options.rate <= 0 || options.rate > kMaxRate || options.count == 0 ||
      options.count > kMaxCount || options.seconds == 0 ||
      options.seconds > kMaxSeconds || options.in_flight == 0 ||
      options.in_flight > kMaxInFlight) {
    return Fail(ErrorCode::kInvalidArgument, "load",
                "is out of bounds: rate to 20000, count to 1000000, seconds to "
                "600, in-flight to 10000");
  }
  if (options.arrivals != "poisson" && options.arrivals != "constant") {
    return Fail(ErrorCode::kInvalidArgument, "arrivals",
                "must be poisson or constant");
  }
  return entries;
}

}  // namespace jacinthdeck::standins
