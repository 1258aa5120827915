// Joins the accounts in the store with the status of hosts. The store's keys of
// accounts are never printed: the configuration holds their digests only.
#include "ctl/account_usage_command.h"

#include <jansson.h>

#include <array>
#include <limits>
#include <map>
#include <memory>
#include <variant>

#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/forward/routing_config.h"

namespace jacinthdeck::ctl {

namespace {

//! Counts in the status of a host, by what became of a request.
constexpr std::array<const char*, 5> kCounts{"admitted", "limited", "unknown",
                                             "stale_keys", "refunded"};

//! Requests of an account, in the order of kCounts.
using Counts = std::array<std::uint64_t, kCounts.size()>;

//! What the given hosts report.
struct FleetUsage {
  std::map<std::string, Counts> accounts;
  std::uint64_t unauthorized = 0;
  //! Hosts whose status cannot be read, each with the problem.
  JsonPtr unread{json_array()};
  //! The account that is shown, as each host reports it.
  JsonPtr by_host{json_array()};
};

[[nodiscard]] Result<std::shared_ptr<const RoutingConfig>> ReadConfig(
    const Session& session) {
  BOOST_LEAF_AUTO(items, session.ReadStore());
  for (const StoreChange& item : items) {
    if (session.codec().ReadKey(item.key).kind == KeyKind::kConfig &&
        item.value) {
      return session.codec().ReadConfig(*item.value);
    }
  }
  return jacinthdeck::Fail(ErrorCode::kNotFound, "configuration",
                           "is not in the store");
}

//! Adds the requests that a host reports.
//! \param shown Account whose report is kept in whole; may be empty.
[[nodiscard]] Result<void> AddHost(const Session& session,
                                   const std::string& address,
                                   const std::string& shown,
                                   FleetUsage& usage) {
  constexpr std::uint64_t kMaxCount = std::numeric_limits<std::int64_t>::max();
  BOOST_LEAF_AUTO(reply, session.ReadStatus(address));
  const JsonReader status(reply.body.get(), address);
  if (!status.Has("accounts")) {
    // The host knows no configuration with accounts.
    return {};
  }
  BOOST_LEAF_AUTO(accounts, status.Object("accounts"));
  BOOST_LEAF_AUTO(unauthorized, accounts.Unsigned("unauthorized", kMaxCount));
  usage.unauthorized += unauthorized;
  BOOST_LEAF_AUTO(items, accounts.Array("in_use"));
  for (const JsonReader& item : items) {
    BOOST_LEAF_AUTO(name, item.String("account"));
    Counts& counts = usage.accounts[name];
    for (std::size_t index = 0; index < kCounts.size(); ++index) {
      BOOST_LEAF_AUTO(count, item.Unsigned(kCounts[index], kMaxCount));
      counts[index] += count;
    }
    if (name == shown) {
      const JsonPtr report(json_deep_copy(item.raw()));
      json_object_set_new(report.get(), "host", json_string(address.c_str()));
      json_array_append(usage.by_host.get(), report.get());
    }
  }
  return {};
}

[[nodiscard]] FleetUsage ReadUsage(const Session& session,
                                   const std::vector<std::string>& hosts,
                                   const std::string& shown) {
  FleetUsage usage;
  for (const std::string& host : hosts) {
    const auto added = Capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(AddHost(session, host, shown, usage));
      return true;
    });
    if (const auto* error = std::get_if<Error>(&added)) {
      json_array_append_new(usage.unread.get(),
                            json_pack("{s:s, s:s}", "host", host.c_str(),
                                      "problem", error->message.c_str()));
    }
  }
  return usage;
}

[[nodiscard]] JsonPtr Describe(const Tenant& tenant, const FleetUsage& usage) {
  JsonPtr json(json_pack("{s:s, s:f, s:f, s:I}", "account",
                         tenant.name.raw().c_str(), "rate_per_s", tenant.rate,
                         "burst", tenant.burst, "keys",
                         static_cast<json_int_t>(tenant.keys.size())));
  if (tenant.priority) {
    json_object_set_new(
        json.get(), "priority",
        json_integer(static_cast<json_int_t>(*tenant.priority)));
  }
  const auto found = usage.accounts.find(tenant.name.raw());
  for (std::size_t index = 0; index < kCounts.size(); ++index) {
    const std::uint64_t count =
        found == usage.accounts.end() ? 0 : found->second[index];
    json_object_set_new(json.get(), kCounts[index],
                        json_integer(static_cast<json_int_t>(count)));
  }
  return json;
}

[[nodiscard]] ExitCode CodeOf(const FleetUsage& usage) {
  return json_array_size(usage.unread.get()) == 0 ? ExitCode::kDone
                                                  : ExitCode::kPartial;
}

}  // namespace

ExitCode AccountsList(Session& session, const std::vector<std::string>& hosts) {
  const auto read = Capture([&] { return ReadConfig(session); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(*error);
  }
  const FleetUsage usage = ReadUsage(session, hosts, "");
  const JsonPtr accounts(json_array());
  for (const Tenant& tenant : std::get<0>(read)->tenants()->tenants()) {
    json_array_append(accounts.get(), Describe(tenant, usage).get());
  }
  const JsonPtr printed(json_pack("{s:O, s:I, s:O}", "accounts", accounts.get(),
                                  "unauthorized",
                                  static_cast<json_int_t>(usage.unauthorized),
                                  "unread", usage.unread.get()));
  session.Print(*printed);
  return CodeOf(usage);
}

ExitCode AccountsShow(Session& session,
                      const std::vector<std::string>& name_and_hosts) {
  const std::string& name = name_and_hosts.front();
  const auto read = Capture([&] { return ReadConfig(session); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(*error);
  }
  const Tenant* tenant = std::get<0>(read)->tenants()->Find(TenantId(name));
  if (tenant == nullptr) {
    return session.Fail(ExitCode::kRefused, name + ": is no account",
                        "list the accounts by accounts list");
  }
  const FleetUsage usage = ReadUsage(
      session, {name_and_hosts.begin() + 1, name_and_hosts.end()}, name);
  const JsonPtr printed = Describe(*tenant, usage);
  json_object_set(printed.get(), "hosts", usage.by_host.get());
  json_object_set(printed.get(), "unread", usage.unread.get());
  session.Print(*printed);
  return CodeOf(usage);
}

}  // namespace jacinthdeck::ctl
