// A target's answers, refusals and faults.
#include "target/target.h"

#include <jansson.h>

#include <algorithm>
#include <cmath>
#include <numbers>
#include <thread>
#include <utility>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/http/status.h"

namespace jacinthdeck::standins {

namespace {

[[nodiscard]] json_t* VersionList(const Holdings& holdings) {
  json_t* versions = json_array();
  for (const auto& [version, ranges] : holdings) {
    json_array_append_new(versions,
                          json_integer(static_cast<json_int_t>(version.raw())));
  }
  return versions;
}

[[nodiscard]] json_t* ToJson(const Hit& hit) {
  return json_pack("{s:s,s:f,s:o}", "id", hit.id.c_str(), "score", hit.score,
                   "data", json_loads(hit.data.c_str(), 0, nullptr));
}

[[nodiscard]] bool Holds(const std::vector<KeyRange>& ranges,
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

void Target::SetHoldings(Holdings holdings) {
  const std::scoped_lock lock(m_mutex);
  m_holdings = std::move(holdings);
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
    m_down_until = std::chrono::steady_clock::now() + m_behaviour.restart;
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
    // What it costs a server to open a connection is paid by its first reply.
    std::this_thread::sleep_for(m_info.connection_open_time);
  }
  if (request.path == "/query" && request.verb == "POST") {
    return Query(request);
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
  const Behaviour now = behaviour();
  if (const char* refusal = Refusal(now)) {
    return Shed(refusal);
  }
  const HttpReply held = CheckHoldings(query);
  return held.status == 200 ? RunQuery(query, now) : held;
}

const char* Target::Refusal(const Behaviour& behaviour) {
  if (behaviour.draining) {
    return "draining";
  }
  if (Draw(behaviour.shed_share)) {
    return "shed";
  }
  const std::scoped_lock lock(m_mutex);
  return std::chrono::steady_clock::now() < m_cold_until ? "cold" : nullptr;
}

HttpReply Target::CheckHoldings(const TargetQuery& query) const {
  const std::scoped_lock lock(m_mutex);
  const auto ranges = m_holdings.find(query.version);
  if (ranges == m_holdings.end()) {
    return JsonReply(http_status::kGone,
                     json_pack("{s:s,s:o}", "error", "version_gone", "versions",
                               VersionList(m_holdings)));
  }
  if (!Holds(ranges->second, query.range)) {
    return JsonReply(http_status::kConflict,
                     json_pack("{s:s,s:o}", "error", "wrong_range", "versions",
                               VersionList(m_holdings)));
  }
  return HttpReply{};
}

HttpReply Target::RunQuery(const TargetQuery& query,
                           const Behaviour& behaviour) {
  const WorkEnd taken =
      m_work.Take(query.attempt, behaviour.queue, query.deadline);
  if (taken == WorkEnd::kCrashed) {
    return DropConnection();
  }
  if (taken != WorkEnd::kDone) {
    return Shed("shed");
  }
  m_log.Record(query.method, query.request_text, {m_info.id, query.attempt});
  Count(&TargetCounts::runs);
  if (!behaviour.crash_on.empty() &&
      query.request_text.find(behaviour.crash_on) != std::string::npos) {
    m_work.Release(query.attempt);
    Crash();
    return DropConnection();
  }
  const Moment until = behaviour.mute ? Moment::max()
                                      : std::chrono::steady_clock::now() +
                                            DrawServiceTime(behaviour);
  const WorkEnd end = m_work.Work(query.attempt, until, query.deadline);
  m_work.Release(query.attempt);
  return Finish(query, behaviour, end);
}

HttpReply Target::Finish(const TargetQuery& query,
                         const Behaviour& behaviour,
                         WorkEnd end) {
  if (end == WorkEnd::kCrashed || behaviour.mute) {
    return DropConnection();
  }
  if (end == WorkEnd::kCancelled) {
    Count(&TargetCounts::cancelled);
    return JsonReply(http_status::kInternalError,
                     json_pack("{s:s}", "error", "cancelled"));
  }
  if (end == WorkEnd::kDeadline) {
    Count(&TargetCounts::past_deadline);
    return JsonReply(http_status::kInternalError,
                     json_pack("{s:s}", "error", "deadline"));
  }
  if (Draw(behaviour.failure_share)) {
    return JsonReply(http_status::kInternalError,
                     json_pack("{s:s}", "error", "internal"));
  }
  return Answer(query);
}

HttpReply Target::Shed(const char* reason) {
  Count(&TargetCounts::shed);
  return JsonReply(
      http_status::kUnavailable,
      json_pack("{s:s,s:f}", "error", reason, "load", CurrentReport().load));
}

HttpReply Target::Answer(const TargetQuery& query) {
  const ShardAnswer answer =
      m_dataset->Answer(query.range, query.version, *query.request);
  Count(&TargetCounts::answered);
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
                                  "versions", VersionList(m_holdings)));
}

HttpReply Target::Load() {
  return JsonReply(
      200, json_pack("{s:f,s:i}", "load", CurrentReport().load, "in_flight",
                     static_cast<int>(m_work.counts().running)));
}

Duration Target::DrawServiceTime(const Behaviour& behaviour) {
  const std::scoped_lock lock(m_mutex);
  const double mean = static_cast<double>(behaviour.service_mean.count());
  double time = mean;
  if (behaviour.shape == ServiceShape::kExponential) {
    time = -mean * std::log(1 - m_random.Unit());
  } else if (behaviour.shape == ServiceShape::kLognormal) {
    const double radius = std::sqrt(-2 * std::log(1 - m_random.Unit()));
    const double normal =
        radius * std::cos(2 * std::numbers::pi * m_random.Unit());
    // Shifted so that the mean is service_mean whatever sigma is.
    const double shift = behaviour.sigma * behaviour.sigma / 2;
    time = mean * std::exp(behaviour.sigma * normal - shift);
  }
  const bool straggles = m_random.Unit() < behaviour.straggler_share;
  time *= behaviour.slow_factor * (straggles ? behaviour.straggler_factor : 1);
  return Duration(static_cast<Duration::rep>(time));
}

bool Target::Draw(double share) {
  const std::scoped_lock lock(m_mutex);
  return share > 0 && m_random.Unit() < share;
}

Target::Report Target::CurrentReport() {
  const WorkCounts work = m_work.counts();
  const std::scoped_lock lock(m_mutex);
  const Moment now = std::chrono::steady_clock::now();
  if (now - m_report.taken >= m_behaviour.report_lag) {
    const double demand = static_cast<double>(work.running + work.waiting);
    m_report.load = std::min(1.0, demand / (2.0 * m_info.slots));
    m_report.state = m_behaviour.draining ? "leaving" : "live";
    m_report.taken = now;
  }
  Report report = m_report;
  report.load = m_behaviour.load_lie.value_or(report.load);
  if (!m_behaviour.health_lie.empty()) {
    report.state = m_behaviour.health_lie;
  }
  return report;
}

bool Target::IsDown() const {
  const std::scoped_lock lock(m_mutex);
  return std::chrono::steady_clock::now() < m_down_until;
}

void Target::Count(std::uint64_t TargetCounts::*counter) {
  const std::scoped_lock lock(m_mutex);
  ++(m_counts.*counter);
}

}  // namespace jacinthdeck::standins
