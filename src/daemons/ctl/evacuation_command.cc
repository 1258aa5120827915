// Compares the store's evacuations with those that hosts report in their
// status.
#include "ctl/evacuation_command.h"

#include <jansson.h>

#include <set>
#include <variant>

#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::ctl {

namespace {

using Domains = std::set<std::string>;

//! The evacuations in the store, as JSON and as a set of failure domains.
struct Evacuated {
  JsonPtr items{json_array()};
  //! Keys that name no valid failure domain, each with the problem.
  JsonPtr unreadable{json_array()};
  Domains domains;
};

void AddEvacuation(const Session& session,
                   const StoreChange& item,
                   Evacuated& evacuated) {
  const ParsedKey key = session.codec().ReadKey(item.key);
  if (key.kind != KeyKind::kEvacuation) {
    return;
  }
  const auto read =
      Capture([&] { return session.codec().ReadEvacuation(key.id); });
  if (const auto* error = std::get_if<Error>(&read)) {
    json_array_append_new(evacuated.unreadable.get(),
                          json_pack("{s:s, s:s}", "key", item.key.c_str(),
                                    "problem", error->message.c_str()));
    return;
  }
  const std::string& domain = std::get<FailureDomain>(read).raw();
  evacuated.domains.insert(domain);
  json_array_append_new(
      evacuated.items.get(),
      json_pack("{s:s, s:I}", "failure_domain", domain.c_str(), "revision",
                static_cast<json_int_t>(item.position.revision)));
}

//! Reads the evacuated failure domains that a host applies from its status.
[[nodiscard]] Result<Domains> ReadAppliedDomains(const Session& session,
                                                 const std::string& address) {
  BOOST_LEAF_AUTO(reply, session.ReadStatus(address));
  const JsonReader status(reply.body.get(), address);
  BOOST_LEAF_AUTO(items, status.Array("evacuated"));
  Domains domains;
  for (const JsonReader& item : items) {
    BOOST_LEAF_AUTO(domain, item.String("failure_domain"));
    domains.insert(domain);
  }
  return domains;
}

//! Returns the evacuated failure domains that a host does not apply, or why its
//! status cannot be read, as JSON; null if the host applies all of them.
[[nodiscard]] JsonPtr DescribeNotApplied(const Session& session,
                                         const std::string& host,
                                         const Domains& evacuated) {
  const auto applied =
      Capture([&] { return ReadAppliedDomains(session, host); });
  if (const auto* error = std::get_if<Error>(&applied)) {
    return JsonPtr(json_pack("{s:s, s:s}", "host", host.c_str(), "problem",
                             error->message.c_str()));
  }
  const JsonPtr missing(json_array());
  for (const std::string& domain : evacuated) {
    if (!std::get<0>(applied).contains(domain)) {
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
  const auto read = Capture([&] { return session.ReadStore(); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(*error);
  }
  Evacuated evacuated;
  for (const StoreChange& item : std::get<0>(read)) {
    AddEvacuation(session, item, evacuated);
  }
  const JsonPtr not_applied_by_host(json_array());
  for (const std::string& host : hosts) {
    if (const JsonPtr not_applied =
            DescribeNotApplied(session, host, evacuated.domains)) {
      json_array_append(not_applied_by_host.get(), not_applied.get());
    }
  }
  const JsonPtr printed(json_pack(
      "{s:O, s:O, s:O}", "evacuations", evacuated.items.get(), "unreadable",
      evacuated.unreadable.get(), "not_applied", not_applied_by_host.get()));
  session.Print(*printed);
  return json_array_size(not_applied_by_host.get()) == 0 ? ExitCode::kDone
                                                         : ExitCode::kPartial;
}

}  // namespace jacinthdeck::ctl
