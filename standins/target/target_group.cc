// Control server for many targets at once.
#include "target/target_group.h"

#include <jansson.h>

#include <stop_token>
#include <utility>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/http/status.h"
#include "jacinthdeck/typed/partition_map_reader.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::chrono::milliseconds kIdleCheckPeriod{5};

[[nodiscard]] json_t* ToJson(Target& target) {
  const TargetCounts counts = target.counts();
  const WorkCounts work = target.work();
  const ConnectionCounts connections = target.connections();
  return json_pack(
      "{s:s,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "id",
      target.info().id.raw().c_str(), "runs", JsonNumber(counts.runs),
      "answered", JsonNumber(counts.answered), "shed", JsonNumber(counts.shed),
      "cancelled", JsonNumber(counts.cancelled), "past_deadline",
      JsonNumber(counts.past_deadline), "crashes", JsonNumber(counts.crashes),
      "running", JsonNumber(work.running), "waiting", JsonNumber(work.waiting),
      "open", JsonNumber(connections.open), "most_open",
      JsonNumber(connections.most_open), "opened",
      JsonNumber(connections.opened), "refused",
      JsonNumber(connections.refused));
}

[[nodiscard]] json_t* ToJson(const RequestRuns& request) {
  json_t* attempts = json_array();
  for (const Run& run : request.runs) {
    json_array_append_new(
        attempts,
        json_pack("{s:s,s:s,s:s,s:b,s:I}", "target", run.target.raw().c_str(),
                  "attempt", run.attempt.c_str(), "account",
                  run.headers.account.c_str(), "key", run.headers.has_key,
                  "at_us",
                  static_cast<json_int_t>(run.at.time_since_epoch().count())));
  }
  return json_pack("{s:s,s:o,s:o,s:o}", "method", request.method.c_str(),
                   "request", json_loads(request.request.c_str(), 0, nullptr),
                   "count", JsonNumber(request.runs.size()), "runs", attempts);
}

//! Returns whether a control message selects a target by its `target`,
//! `service` and `domain`. A selector that the message does not name matches
//! every target.
[[nodiscard]] Result<bool> MatchesSelectors(const JsonReader& message,
                                            const TargetInfo& info) {
  if (message.Has("target")) {
    BOOST_LEAF_AUTO(id, message.String("target"));
    if (id != info.id.raw()) {
      return false;
    }
  }
  if (message.Has("service")) {
    BOOST_LEAF_AUTO(service, message.String("service"));
    if (service != info.service.raw()) {
      return false;
    }
  }
  if (message.Has("domain")) {
    BOOST_LEAF_AUTO(domain, message.String("domain"));
    return domain == info.domain.raw();
  }
  return true;
}

}  // namespace

TargetGroup::TargetGroup(const std::vector<TargetInfo>& target_infos,
                         const TargetGroupOptions& options)
    : m_server({.port = options.port},
               [this](const HttpRequest& request) { return Handle(request); }) {
  std::map<ServiceId, std::shared_ptr<const Dataset>> datasets;
  for (const TargetInfo& info : target_infos) {
    std::shared_ptr<const Dataset>& dataset = datasets[info.service];
    if (dataset == nullptr) {
      dataset = std::make_shared<const Dataset>(
          info.service, options.items_per_service, options.seed);
    }
    const std::uint16_t port = options.listed_ports ? info.port : 0;
    m_targets.push_back(
        std::make_unique<Target>(info, port, dataset, m_log, options.seed));
    m_targets.back()->SetBehaviour(options.behaviour);
  }
  m_idle_closer = std::jthread([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(kIdleCheckPeriod);
      for (const auto& target : m_targets) {
        target->CloseIdle();
      }
    }
  });
}

Result<std::size_t> TargetGroup::LoadIndex(const JsonReader& index) {
  std::map<ServiceId, std::vector<PartitionMap>> maps;
  for (const std::string& service : index.Names()) {
    BOOST_LEAF_AUTO(value, index.Object(service));
    BOOST_LEAF_AUTO(versions, ReadPartitionMaps(value));
    maps.emplace(service, std::move(versions));
  }
  for (const auto& target : m_targets) {
    const auto versions = maps.find(target->info().service);
    if (versions != maps.end()) {
      target->SetServedRanges(
          ServedRangesOf(target->info().id, versions->second));
    }
  }
  return maps.size();
}

HttpReply TargetGroup::Handle(const HttpRequest& request) {
  if (request.path == "/control" && request.verb == "POST") {
    return Control(request);
  }
  if (request.path == "/control/runs") {
    const auto method = request.parameters.find("method");
    return Runs(method == request.parameters.end() ? "" : method->second);
  }
  if (request.path == "/control/counts") {
    return Counts();
  }
  return JsonReply(http_status::kNotFound,
                   json_pack("{s:s}", "error", "unknown_call"));
}

HttpReply TargetGroup::Control(const HttpRequest& request) {
  const auto applied = Capture([&] { return Apply(request.body); });
  if (const auto* error = std::get_if<Error>(&applied)) {
    const std::string text = error->subject + " " + error->message;
    return JsonReply(http_status::kBadRequest,
                     json_pack("{s:s}", "error", text.c_str()));
  }
  return JsonReply(
      200, json_pack("{s:o}", "targets", JsonNumber(std::get<0>(applied))));
}

Result<std::size_t> TargetGroup::Apply(const std::string& text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "control"));
  const JsonReader message(json.get(), "control");
  if (message.Has("index")) {
    BOOST_LEAF_AUTO(index, message.Object("index"));
    return LoadIndex(index);
  }
  std::size_t selected = 0;
  for (const auto& target : m_targets) {
    BOOST_LEAF_AUTO(matches, MatchesSelectors(message, target->info()));
    if (!matches) {
      continue;
    }
    ++selected;
    if (message.Has("set")) {
      BOOST_LEAF_AUTO(changes, message.Object("set"));
      BOOST_LEAF_AUTO(behaviour, ReadBehaviour(changes, target->behaviour()));
      target->SetBehaviour(behaviour);
    }
    if (message.Has("crash")) {
      target->Crash();
    }
  }
  return selected;
}

HttpReply TargetGroup::Runs(const std::string& method) const {
  json_t* requests = json_array();
  for (const RequestRuns& request : m_log.Find(method)) {
    json_array_append_new(requests, ToJson(request));
  }
  return JsonReply(200, json_pack("{s:o,s:o}", "requests", requests, "total",
                                  JsonNumber(m_log.total())));
}

HttpReply TargetGroup::Counts() const {
  json_t* targets = json_array();
  for (const auto& target : m_targets) {
    json_array_append_new(targets, ToJson(*target));
  }
  return JsonReply(200, json_pack("{s:o}", "targets", targets));
}

}  // namespace jacinthdeck::standins
