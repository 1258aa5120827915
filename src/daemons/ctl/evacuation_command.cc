// Compares the store's evacuations with what hosts say in their status.
#include "ctl/evacuation_command.h"

#include <jansson.h>

#include <cstdint>
#include <map>
#include <set>
#include <variant>

#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::ctl {

namespace {

using Domains = std::set<std::string>;

//! Evacuated domains of the store with their revisions.
[[nodiscard]] Result<std::map<std::string, std::uint64_t>> ReadEvacuations(
    const Session& session) {
  BOOST_LEAF_AUTO(items, session.ReadStore());
  std::map<std::string, std::uint64_t> evacuated;
  for (const StoreChange& item : items) {
    const KeyName key = session.codec().ReadKey(item.key);
    if (key.kind == KeyKind::kEvacuation) {
      BOOST_LEAF_AUTO(domain, session.codec().ReadEvacuation(key.id));
      evacuated[domain.raw()] = item.revision;
    }
  }
  return evacuated;
}

//! Evacuated domains that a host applies.
[[nodiscard]] Result<Domains> AskHost(const Session& session,
                                      const std::string& address) {
  BOOST_LEAF_AUTO(endpoint, Endpoint::Parse(address));
  BOOST_LEAF_AUTO(reply, session.Call(endpoint, {"GET", "/status", ""}));
  const JsonReader status(reply.body.get(), address);
  BOOST_LEAF_AUTO(items, status.Array("evacuated"));
  Domains domains;
  for (const JsonReader& item : items) {
    BOOST_LEAF_AUTO(domain, item.String("failure_domain"));
    domains.insert(domain);
  }
  return domains;
}

//! What one host lacks, as JSON; null if it lacks nothing.
[[nodiscard]] JsonPtr Lack(const Session& session,
                           const std::string& host,
                           const Domains& evacuated) {
  const auto asked = Capture([&] { return AskHost(session, host); });
  if (const auto* error = std::get_if<Error>(&asked)) {
    return JsonPtr(json_pack("{s:s, s:s}", "host", host.c_str(), "problem",
                             error->message.c_str()));
  }
  const JsonPtr missing(json_array());
  for (const std::string& domain : evacuated) {
    if (!std::get<0>(asked).contains(domain)) {
      json_array_append_new(missing.get(), json_string(domain.c_str()));
    }
  }
  if (json_array_size(missing.get()) == 0) {
    return nullptr;
  }
  return JsonPtr(json_pack("{s:s, s:O}", "host", host.c_str(),
                           "failure_domains", missing.get()));
}

}  // namespace

ExitCode ShowEvacuations(Session& session,
                         const std::vector<std::string>& hosts) {
  const auto read = Capture([&] { return ReadEvacuations(session); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(*error);
  }
  const JsonPtr evacuations(json_array());
  Domains domains;
  for (const auto& [domain, revision] : std::get<0>(read)) {
    domains.insert(domain);
    json_array_append_new(
        evacuations.get(),
        json_pack("{s:s, s:I}", "failure_domain", domain.c_str(), "revision",
                  static_cast<json_int_t>(revision)));
  }
  const JsonPtr lacking(json_array());
  for (const std::string& host : hosts) {
    if (const JsonPtr lack = Lack(session, host, domains)) {
      json_array_append(lacking.get(), lack.get());
    }
  }
  const JsonPtr printed(json_pack("{s:O, s:O}", "evacuations",
                                  evacuations.get(), "not_applied",
                                  lacking.get()));
  session.Print(*printed);
  return json_array_size(lacking.get()) == 0 ? ExitCode::kDone
                                             : ExitCode::kPartial;
}

}  // namespace jacinthdeck::ctl
