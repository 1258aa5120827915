// Parses the host list and checks types and bounds of its members.
#include "target/target_list.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck {

namespace {

constexpr std::uint64_t kMaxSlotsOrConnections = 100000;
constexpr std::uint64_t kMaxOpenMicroseconds = 60'000'000;

[[nodiscard]] bool IsIpAddress(const std::string& address) noexcept {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  return inet_pton(AF_INET, address.c_str(), binary.data()) == 1 ||
         inet_pton(AF_INET6, address.c_str(), binary.data()) == 1;
}

[[nodiscard]] Result<std::string> ReadName(const JsonReader& host,
                                           std::string_view member) {
  BOOST_LEAF_AUTO(name, host.String(member));
  if (name.empty()) {
    return Fail(ErrorCode::kCorrupt, host.path() + "." + std::string(member),
                "is empty");
  }
  return name;
}

[[nodiscard]] Result<std::string> ReadAddress(const JsonReader& host) {
  BOOST_LEAF_AUTO(address, host.String("address"));
  if (!IsIpAddress(address)) {
    return Fail(ErrorCode::kCorrupt, host.path() + ".address",
                "is '" + address + "', expected an IP address");
  }
  return address;
}

[[nodiscard]] Result<TargetState> ReadState(const JsonReader& host) {
  BOOST_LEAF_AUTO(name, host.String("state"));
  const auto state = kTargetStateNames.Find(name);
  if (!state) {
    return Fail(ErrorCode::kCorrupt, host.path() + ".state",
                "is '" + name + "', expected live, leaving or gone");
  }
  return *state;
}

[[nodiscard]] Result<std::uint64_t> ReadPositive(const JsonReader& host,
                                                 std::string_view member,
                                                 std::uint64_t max) {
  BOOST_LEAF_AUTO(value, host.Unsigned(member, max));
  if (value == 0) {
    return Fail(ErrorCode::kCorrupt, host.path() + "." + std::string(member),
                "is 0, expected 1 to " + std::to_string(max));
  }
  return value;
}

[[nodiscard]] Result<TargetInfo> ReadHost(const JsonReader& host) {
  TargetInfo info;
  BOOST_LEAF_AUTO(id, ReadName(host, "id"));
  BOOST_LEAF_AUTO(service, ReadName(host, "service"));
  BOOST_LEAF_AUTO(domain, ReadName(host, "domain"));
  BOOST_LEAF_ASSIGN(info.address, ReadAddress(host));
  BOOST_LEAF_ASSIGN(info.state, ReadState(host));
  BOOST_LEAF_AUTO(
      port,
      ReadPositive(host, "port", std::numeric_limits<std::uint16_t>::max()));
  BOOST_LEAF_AUTO(slots, ReadPositive(host, "slots", kMaxSlotsOrConnections));
  BOOST_LEAF_AUTO(connections,
                  ReadPositive(host, "connections", kMaxSlotsOrConnections));
  BOOST_LEAF_AUTO(open_us, host.Unsigned("open_us", kMaxOpenMicroseconds));
  info.id = TargetId(std::move(id));
  info.service = ServiceId(std::move(service));
  info.domain = FailureDomain(std::move(domain));
  info.port = static_cast<std::uint16_t>(port);
  info.slots = static_cast<std::uint32_t>(slots);
  info.connections = static_cast<std::uint32_t>(connections);
  info.connection_open_time = Duration(static_cast<Duration::rep>(open_us));
  return info;
}

}  // namespace

Result<std::vector<TargetInfo>> ReadHostList(std::string_view text,
                                             std::string_view subject) {
  BOOST_LEAF_AUTO(json, ParseJson(text, subject));
  const JsonReader list(json.get(), std::string(subject));
  BOOST_LEAF_AUTO(hosts, list.Array("hosts"));
  std::vector<TargetInfo> targets;
  std::set<TargetId> ids;
  for (const JsonReader& host : hosts) {
    BOOST_LEAF_AUTO(info, ReadHost(host));
    if (!ids.insert(info.id).second) {
      return Fail(ErrorCode::kCorrupt, host.path() + ".id",
                  "is a duplicate, expected distinct targets");
    }
    targets.push_back(std::move(info));
  }
  return targets;
}

}  // namespace jacinthdeck
