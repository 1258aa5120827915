// Answers, refusals and faults of a stand-in target.
#include "target/target.h"

#include <jansson.h>

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <cmath>
#include <numbers>
#include <thread>
#include <utility>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/http/status.h"
#include "platform/wire_names.h"

namespace jacinthdeck::standins {

namespace {

[[nodiscard]] json_t* VersionsToJson(const ServedRanges& served_ranges) {
  json_t* versions = json_array();
  for (const auto& [version, ranges] : served_ranges) {
    json_array_append_new(versions,
                          json_integer(static_cast<json_int_t>(version.raw())));
  }
  return versions;
}

[[nodiscard]] json_t* ToJson(const Hit& hit) {
  return json_pack("{s:s,s:f,s:o}", "id", hit.id.c_str(), "score", hit.score,
                   "data", json_loads(hit.data.c_str(), 0, nullptr));
}

[[nodiscard]] bool ContainsRange(const std::vector<KeyRange>& ranges,
                                 const KeyRange& wanted) {
  return std::ranges::any_of(ranges, [&](const KeyRange& range) {
    return range.begin <= wanted.begin && wanted.end <= range.end;
  });
}

}  // namespace

Target::Target(TargetInfo info,
               std::uint16_t port,
               std::shared_ptr<const Dataset> dataset,
               RunLog& log,
               std::uint64_t seed)
    : m_info(std::move(info)),
      m_dataset(std::move(dataset)),
      m_log(log),
      m_work(m_info.slots),
      m_random(StableHash(m_info.id.raw(), seed)),
      m_server({.port = port, .max_connections = m_info.connections},
               [this](const HttpRequest& request) { return Handle(request); }) {
}

Target::~Target() {
  m_work.Crash();
}

Behaviour Target::behaviour() const {
  const std::scoped_lock lock(m_mutex);
  return m_behaviour;
}

TargetCounts Target::counts() const {
  const std::scoped_lock lock(m_mutex);
  return m_counts;
}

void Target::SetServedRanges(ServedRanges served_ranges) {
  const std::scoped_lock lock(m_mutex);
  m_served_ranges = std::move(served_ranges);
}

void Target::SetBehaviour(const Behaviour& behaviour) {
  const std::scoped_lock lock(m_mutex);
  m_behaviour = behaviour;
  m_cold_until = std::chrono::steady_clock::now() + behaviour.cold_for;
}

void Target::Crash() {
  {
    const std::scoped_lock lock(m_mutex);
    ++m_counts.crashes;
    m_down_until = std::chrono::steady_clock::now() + m_behaviour.restart_time;
    m_cold_until = m_down_until + m_behaviour.cold_for;
  }
  m_server.connections().CloseAll();
  m_work.Crash();
}

void Target::CloseIdle() {
  const Duration idle = behaviour().idle_close;
  if (idle > Duration::zero()) {
    m_server.connections().CloseIdle(idle);
  }
}

HttpReply Target::Handle(const HttpRequest& request) {
  if (IsDown()) {
    return DropConnection();
  }
  if (request.first_on_connection) {
    // The time to open a connection is added to the first reply on it.
    std::this_thread::sleep_for(m_info.connection_open_time);
  }
  if (request.path == "/query" && request.verb == "POST") {
    HttpReply reply = Query(request);
    static const std::string id_name =
        boost::to_lower_copy(std::string(platform::wire::kRequestId));
    if (const auto id = request.headers.find(id_name);
        id != request.headers.end()) {
      reply.headers.insert(*id);
    }
    return reply;
  }
  if (request.path == "/cancel") {
    const auto attempt = request.headers.find("x-attempt");
    m_work.Cancel(attempt == request.headers.end() ? "" : attempt->second);
    return HttpReply{http_status::kNoContent, "", false};
  }
  if (request.path == "/health") {
    return Health();
  }
  if (request.path == "/load") {
    return Load();
  }
  return JsonReply(http_status::kNotFound,
                   json_pack("{s:s}", "error", "unknown_call"));
}

HttpReply Target::Query(const HttpRequest& request) {
  const auto parsed = Capture([&] { return ReadTargetQuery(request); });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    const std::string text = error->subject + " " + error->message;
    return JsonReply(http_status::kBadRequest,
                     json_pack("{s:s}", "error", text.c_str()));
  }
  const auto& query = std::get<TargetQuery>(parsed);
  const Behaviour current = behaviour();
  if (const char* refusal = RefusalReason(current)) {
    return ReplyShed(refusal);
  }
  const HttpReply check = CheckServedRanges(query);
  return check.status == 200 ? RunQuery(query, current) : check;
}

const char* Target::RefusalReason(const Behaviour& behaviour) {
  if (behaviour.draining) {
    return "draining";
  }
  if (DrawWithProbability(behaviour.shed_share)) {
    return "shed";
  }
  const std::scoped_lock lock(m_mutex);
  return std::chrono::steady_clock::now() < m_cold_until ? "cold" : nullptr;
}

HttpReply Target::CheckServedRanges(const TargetQuery& query) const {
  const std::scoped_lock lock(m_mutex);
  const auto ranges = m_served_ranges.find(query.version);
  if (ranges == m_served_ranges.end()) {
    return JsonReply(http_status::kGone,
                     json_pack("{s:s,s:o}", "error", "version_gone", "versions",
                               VersionsToJson(m_served_ranges)));
  }
  if (!ContainsRange(ranges->second, query.range)) {
    return JsonReply(http_status::kConflict,
                     json_pack("{s:s,s:o}", "error", "wrong_range", "versions",
                               VersionsToJson(m_served_ranges)));
  }
  return HttpReply{};
}

HttpReply Target::RunQuery(const TargetQuery& query,
                           const Behaviour& behaviour) {
  const WorkOutcome slot_outcome =
      m_work.AcquireSlot(query.attempt, behaviour.queue_limit, query.deadline);
  if (slot_outcome == WorkOutcome::kCrashed) {
    return DropConnection();
  }
  if (slot_outcome != WorkOutcome::kDone) {
    return ReplyShed("shed");
  }
  m_log.Record(query.method, query.request_text,
               {m_info.id, query.attempt, query.headers, m_clock.Now()});
  Increment(&TargetCounts::runs);
  if (!behaviour.crash_on.empty() &&
      query.request_text.find(behaviour.crash_on) != std::string::npos) {
    m_work.ReleaseSlot(query.attempt);
    Crash();
    return DropConnection();
  }
  const SteadyTimePoint until =
      behaviour.mute
          ? SteadyTimePoint::max()
          : std::chrono::steady_clock::now() + DrawServiceTime(behaviour);
  const WorkOutcome outcome = m_work.Work(query.attempt, until, query.deadline);
  m_work.ReleaseSlot(query.attempt);
  return FinishQuery(query, behaviour, outcome);
}

HttpReply Target::FinishQuery(const TargetQuery& query,
                              const Behaviour& behaviour,
                              WorkOutcome outcome) {
  if (outcome == WorkOutcome::kCrashed || behaviour.mute) {
    return DropConnection();
  }
  if (outcome == WorkOutcome::kCancelled) {
    Increment(&TargetCounts::cancelled);
    return JsonReply(http_status::kInternalError,
                     json_pack("{s:s}", "error", "cancelled"));
  }
  if (outcome == WorkOutcome::kDeadlineExceeded) {
    Increment(&TargetCounts::past_deadline);
    return JsonReply(http_status::kInternalError,
                     json_pack("{s:s}", "error", "deadline"));
  }
  if (DrawWithProbability(behaviour.failure_share)) {
    return JsonReply(http_status::kInternalError,
                     json_pack("{s:s}", "error", "internal"));
  }
  return ReplyWithHits(query);
}

HttpReply Target::ReplyShed(const char* reason) {
  Increment(&TargetCounts::shed);
  return JsonReply(
      http_status::kUnavailable,
      json_pack("{s:s,s:f}", "error", reason, "load", CurrentReport().load));
}

HttpReply Target::ReplyWithHits(const TargetQuery& query) {
  const ShardAnswer answer =
      m_dataset->Answer(query.range, query.version, *query.request);
  Increment(&TargetCounts::answered);
  json_t* hits = json_array();
  for (const Hit& hit : answer.hits) {
    json_array_append_new(hits, ToJson(hit));
  }
  return JsonReply(
      200, json_pack("{s:I,s:[I,I],s:o,s:I,s:f}", "version",
                     static_cast<json_int_t>(query.version.raw()), "range",
                     static_cast<json_int_t>(query.range.begin),
                     static_cast<json_int_t>(query.range.end), "hits", hits,
                     "count", static_cast<json_int_t>(answer.count), "load",
                     CurrentReport().load));
}

HttpReply Target::Health() {
  const std::string state = CurrentReport().state;
  const std::scoped_lock lock(m_mutex);
  return JsonReply(200, json_pack("{s:s,s:o}", "state", state.c_str(),
                                  "versions", VersionsToJson(m_served_ranges)));
}

HttpReply Target::Load() {
  return JsonReply(
      200, json_pack("{s:f,s:i}", "load", CurrentReport().load, "in_flight",
                     static_cast<int>(m_work.counts().running)));
}

Duration Target::DrawServiceTime(const Behaviour& behaviour) {
  const std::scoped_lock lock(m_mutex);
  const double mean = static_cast<double>(behaviour.mean_service_time.count());
  double time = mean;
  if (behaviour.distribution == ServiceTimeDistribution::kExponential) {
    time = -mean * std::log(1 - m_random.Unit());
  } else if (behaviour.distribution == ServiceTimeDistribution::kLognormal) {
    const double radius = std::sqrt(-2 * std::log(1 - m_random.Unit()));
    const double normal =
        radius * std::cos(2 * std::numbers::pi * m_random.Unit());
    // Shifted so that the mean is mean_service_time whatever sigma is.
    const double shift = behaviour.sigma * behaviour.sigma / 2;
    time = mean * std::exp(behaviour.sigma * normal - shift);
  }
  const bool is_straggler = m_random.Unit() < behaviour.straggler_share;
  time *=
      behaviour.slow_factor * (is_straggler ? behaviour.straggler_factor : 1);
  return Duration(static_cast<Duration::rep>(time));
}

bool Target::DrawWithProbability(double share) {
  const std::scoped_lock lock(m_mutex);
  return share > 0 && m_random.Unit() < share;
}

Target::Report Target::CurrentReport() {
  const WorkCounts work = m_work.counts();
  const std::scoped_lock lock(m_mutex);
  const SteadyTimePoint now = std::chrono::steady_clock::now();
  if (now - m_report.taken >= m_behaviour.report_lag) {
    const double demand = static_cast<double>(work.running + work.waiting);
    m_report.load = std::min(1.0, demand / (2.0 * m_info.slots));
    m_report.state = m_behaviour.draining ? "leaving" : "live";
    m_report.taken = now;
  }
  Report report = m_report;
  report.load = m_behaviour.load_override.value_or(report.load);
  if (!m_behaviour.state_override.empty()) {
    report.state = m_behaviour.state_override;
  }
  return report;
}

bool Target::IsDown() const {
  const std::scoped_lock lock(m_mutex);
  return std::chrono::steady_clock::now() < m_down_until;
}

void Target::Increment(std::uint64_t TargetCounts::*counter) {
  const std::scoped_lock lock(m_mutex);
  ++(m_counts.*counter);
}

}  // namespace jacinthdeck::standins
