// Reads the status of hosts and writes partition maps to the store.
#include "ctl/host_commands.h"

#include <jansson.h>

#include <fstream>
#include <iterator>
#include <variant>

#include "ctl/show.h"
#include "ctl/store_key.h"
#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/typed/partition_map_reader.h"

namespace jacinthdeck::ctl {

namespace {

//! Reads a file of partition maps and returns each service with its validated
//! maps as JSON text.
[[nodiscard]] Result<std::vector<std::pair<std::string, std::string>>>
ReadIndexFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return jacinthdeck::Fail(ErrorCode::kInvalidArgument, path,
                             "cannot be read");
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  BOOST_LEAF_AUTO(json, ParseJson(text, path));
  const JsonReader index(json.get(), path);
  std::vector<std::pair<std::string, std::string>> maps;
  for (const std::string& service : index.Names()) {
    BOOST_LEAF_AUTO(value, index.Object(service));
    BOOST_LEAF_CHECK(ReadPartitionMaps(value));
    maps.emplace_back(service, DumpJson(*value.raw()));
  }
  return maps;
}

}  // namespace

ExitCode ShowStatus(Session& session,
                    const std::vector<std::string>& /*none*/) {
  return Show(session, session.arguments().host, "/status");
}

ExitCode ShowEntries(Session& session,
                     const std::vector<std::string>& /*none*/) {
  return Show(session, session.arguments().queries, "/v1/entries");
}

ExitCode ShowHosts(Session& session, const std::vector<std::string>& /*none*/) {
  const auto read = Capture([&] { return session.ReadStore(); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(*error);
  }
  const JsonPtr hosts(json_array());
  for (const StoreChange& item : std::get<0>(read)) {
    if (session.codec().ReadKey(item.key).kind != KeyKind::kHost) {
      continue;
    }
    const auto host =
        Capture([&] { return session.codec().ReadHost(*item.value); });
    if (const auto* record = std::get_if<HostRecord>(&host)) {
      json_array_append_new(
          hosts.get(),
          json_pack("{s:s, s:s, s:s, s:s}", "name", record->name.raw().c_str(),
                    "failure_domain", record->domain.raw().c_str(), "callers",
                    record->callers.c_str(), "queries",
                    record->queries.c_str()));
    }
  }
  const JsonPtr list(json_pack("{s:O}", "hosts", hosts.get()));
  session.Print(*list);
  return ExitCode::kDone;
}

ExitCode IndexApply(Session& session, const std::vector<std::string>& file) {
  const auto read = Capture([&] { return ReadIndexFile(file[0]); });
  if (const auto* error = std::get_if<Error>(&read)) {
    return session.Fail(
        ExitCode::kRefused, error->subject + ": " + error->message,
        "correct the file; the partition maps in the store are unchanged");
  }
  for (const auto& [service, text] : std::get<0>(read)) {
    const ExitCode written =
        WriteKey(session, session.codec().IndexKey(service), text);
    if (written != ExitCode::kDone) {
      return written;
    }
  }
  return ExitCode::kDone;
}

}  // namespace jacinthdeck::ctl
