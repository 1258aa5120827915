// Bounds of the load: entry addresses, rate, count, duration and requests in
// flight.
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
                  "is not a loopback address, expected 127.x.x.x");
    }
    entries.push_back(entry);
  }
  if (entries.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "entry",
                "is missing, expected at least one");
  }
  if (options.rate <= 0 || options.rate > kMaxRate || options.count == 0 ||
      options.count > kMaxCount || options.seconds == 0 ||
      options.seconds > kMaxSeconds || options.in_flight == 0 ||
      options.in_flight > kMaxInFlight) {
    return Fail(
        ErrorCode::kInvalidArgument, "load",
        "is out of bounds: rate up to 20000, count up to 1000000, seconds "
        "up to 600, in-flight up to 10000");
  }
  if (options.arrivals != "poisson" && options.arrivals != "constant") {
    return Fail(ErrorCode::kInvalidArgument, "arrivals",
                "must be poisson or constant");
  }
  return entries;
}

}  // namespace jacinthdeck::standins
