// Calls of the platform store, as docs/design/protocols.md gives them.
#include "store/store_server.h"

#include <jansson.h>
#include <ulfius.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>
#include <thread>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "store/store_control.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20U;
constexpr std::size_t kMaxConnections = 2000;
constexpr std::uint64_t kDefaultLeaseMs = 5000;
constexpr std::uint64_t kDefaultWatchMs = 10000;

constexpr unsigned int kNoContent = 204;
constexpr unsigned int kNotFound = 404;
constexpr unsigned int kConflict = 409;
constexpr unsigned int kTooLarge = 413;
constexpr unsigned int kTooMany = 429;
constexpr unsigned int kUnavailable = 503;

[[nodiscard]] HttpReply Json(unsigned int status, JsonPtr value) {
  return HttpReply{status, DumpJson(*value), false};
}

[[nodiscard]] HttpReply ErrorReply(unsigned int status, const char* error) {
  return Json(status, JsonPtr(json_pack("{s:s}", "error", error)));
}

[[nodiscard]] HttpReply RevisionReply(unsigned int status,
                                      std::uint64_t revision) {
  return Json(status, JsonPtr(json_pack("{s:I}", "revision",
                                        static_cast<json_int_t>(revision))));
}

[[nodiscard]] JsonPtr ToJson(const KeyValue& item) {
  return JsonPtr(json_pack("{s:s,s:s%,s:I}", "key", item.key.c_str(), "value",
                           item.value.data(), item.value.size(), "revision",
                           static_cast<json_int_t>(item.revision)));
}

[[nodiscard]] std::string Decode(std::string_view text) {
  const std::unique_ptr<char, decltype(&u_free)> decoded(
      ulfius_url_decode(std::string(text).c_str()), &u_free);
  return decoded == nullptr ? std::string() : std::string(decoded.get());
}

[[nodiscard]] std::string KeyAfter(const HttpRequest& request,
                                   std::string_view prefix) {
  return Decode(std::string_view(request.path).substr(prefix.size()));
}

constexpr std::string_view kKvPrefix = "/v1/kv/";
constexpr std::string_view kWatchPrefix = "/v1/watch/";
constexpr std::string_view kLeasePrefix = "/v1/lease/";

}  // namespace

/*! \brief One kind of call: how it is recognised, counted and answered. */
struct StoreServer::Route {
  std::string_view verb;
  //! Path that the call starts with.
  std::string_view prefix;
  bool whole_path = false;
  std::uint64_t StoreCounts::*count = nullptr;
  RateLimit StoreServer::*rate = nullptr;
  //! Whether the call changes something, so that its reply can be lost.
  bool writes = false;
  CallHandler handler = nullptr;
};

StoreServer::StoreServer(std::uint16_t port,
                         const Clock& clock,
                         const StoreRates& rates,
                         std::uint64_t seed)
    : m_clock(clock),
      m_content(clock),
      m_reads(rates.reads),
      m_writes(rates.writes),
      m_random(seed),
      m_server({.port = port, .max_connections = kMaxConnections},
               [this](const HttpRequest& request) { return Handle(request); }) {
}

StoreServer::~StoreServer() {
  // A watch that came in after the interruption would hold the end up.
  SetFaults({.outage = Outage::kDrop});
}

StoreCounts StoreServer::counts() const {
  const std::scoped_lock lock(m_mutex);
  return m_counts;
}

void StoreServer::SetFaults(const StoreFaults& faults) {
  {
    const std::scoped_lock lock(m_mutex);
    m_faults = faults;
  }
  if (faults.outage != Outage::kNone) {
    m_content.InterruptWatches();
  }
}

StoreFaults StoreServer::faults() const {
  const std::scoped_lock lock(m_mutex);
  return m_faults;
}

HttpReply StoreServer::Handle(const HttpRequest& request) {
  if (request.path == "/control") {
    return Control(request);
  }
  if (request.path == "/control/counts") {
    return Counts();
  }
  return Dispatch(request);
}

HttpReply StoreServer::Dispatch(const HttpRequest& request) {
  static constexpr std::array<Route, 7> kRoutes{{
      {"GET", kKvPrefix, false, &StoreCounts::gets, &StoreServer::m_reads,
       false, &StoreServer::Get},
      {"GET", "/v1/kv", true, &StoreCounts::lists, &StoreServer::m_reads, false,
       &StoreServer::List},
      {"PUT", kKvPrefix, false, &StoreCounts::puts, &StoreServer::m_writes,
       true, &StoreServer::Put},
      {"DELETE", kKvPrefix, false, &StoreCounts::deletes,
       &StoreServer::m_writes, true, &StoreServer::Delete},
      {"GET", kWatchPrefix, false, &StoreCounts::watches, &StoreServer::m_reads,
       false, &StoreServer::Watch},
      {"POST", "/v1/lease", true, &StoreCounts::leases, &StoreServer::m_writes,
       true, &StoreServer::Grant},
      {"POST", kLeasePrefix, false, &StoreCounts::leases,
       &StoreServer::m_writes, true, &StoreServer::Renew},
  }};
  for (const Route& route : kRoutes) {
    const bool matches = route.whole_path
                             ? request.path == route.prefix
                             : request.path.starts_with(route.prefix);
    if (request.verb != route.verb || !matches) {
      continue;
    }
    if (!Admit(route)) {
      return ErrorReply(kTooMany, "rate_limited");
    }
    const StoreFaults now = faults();
    std::this_thread::sleep_for(now.delay);
    if (now.outage != Outage::kNone) {
      return now.outage == Outage::kDrop ? DropConnection()
                                         : ErrorReply(kUnavailable, "outage");
    }
    const HttpReply reply = (this->*route.handler)(request);
    return route.writes && reply.status == 200 && LoseReply() ? DropConnection()
                                                              : reply;
  }
  return ErrorReply(kNotFound, "unknown_call");
}

bool StoreServer::Admit(const Route& route) {
  const std::scoped_lock lock(m_mutex);
  ++(m_counts.*route.count);
  if (m_faults.outage != Outage::kNone) {
    ++m_counts.refused;
  }
  if ((this->*route.rate).Take(m_clock.Now())) {
    return true;
  }
  ++m_counts.limited;
  return false;
}

bool StoreServer::LoseReply() {
  const std::scoped_lock lock(m_mutex);
  const bool drawn = m_faults.lose_reply_share > 0 &&
                     m_random.Unit() < m_faults.lose_reply_share;
  if (m_faults.lose_replies == 0 && !drawn) {
    return false;
  }
  if (m_faults.lose_replies > 0) {
    --m_faults.lose_replies;
  }
  ++m_counts.replies_lost;
  return true;
}

HttpReply StoreServer::Get(const HttpRequest& request) {
  const auto item = m_content.Get(KeyAfter(request, kKvPrefix));
  return item ? Json(200, ToJson(*item)) : RevisionReply(kNotFound, 0);
}

HttpReply StoreServer::List(const HttpRequest& request) {
  const auto prefix = request.parameters.find("prefix");
  const std::string wanted =
      prefix == request.parameters.end() ? "" : prefix->second;
  JsonPtr items(json_array());
  for (const KeyValue& item : m_content.List(wanted)) {
    json_array_append_new(items.get(), ToJson(item).release());
  }
  return Json(200, JsonPtr(json_pack("{s:o}", "items", items.release())));
}

HttpReply StoreServer::Put(const HttpRequest& request) {
  if (request.body.size() > kMaxValueBytes) {
    return ErrorReply(kTooLarge, "value_too_large");
  }
  const SwapResult result =
      m_content.Put(KeyAfter(request, kKvPrefix), request.body,
                    request.Number("prev"), request.Number("lease"));
  if (!result.lease_known) {
    return ErrorReply(kNotFound, "lease_lapsed");
  }
  return RevisionReply(result.swapped ? 200 : kConflict, result.revision);
}

HttpReply StoreServer::Delete(const HttpRequest& request) {
  const SwapResult result =
      m_content.Delete(KeyAfter(request, kKvPrefix), request.Number("prev"));
  return RevisionReply(result.swapped ? 200 : kConflict, result.revision);
}

HttpReply StoreServer::Watch(const HttpRequest& request) {
  const auto timeout = std::chrono::milliseconds(
      request.Number("timeout_ms").value_or(kDefaultWatchMs));
  KeyValue item;
  switch (m_content.Watch(KeyAfter(request, kWatchPrefix),
                          request.Number("after").value_or(0), timeout, item)) {
    case WatchEnd::kChanged:
      return Json(200, ToJson(item));
    case WatchEnd::kAbsent:
      return RevisionReply(kNotFound, 0);
    case WatchEnd::kTimeout:
      return HttpReply{kNoContent, "", false};
    case WatchEnd::kInterrupted:
      break;
  }
  return ErrorReply(kUnavailable, "outage");
}

HttpReply StoreServer::Grant(const HttpRequest& request) {
  const auto ttl = std::chrono::milliseconds(
      request.Number("ttl_ms").value_or(kDefaultLeaseMs));
  const auto lease = static_cast<json_int_t>(m_content.Grant(ttl));
  return Json(200, JsonPtr(json_pack("{s:I}", "lease", lease)));
}

HttpReply StoreServer::Renew(const HttpRequest& request) {
  const std::string rest = KeyAfter(request, kLeasePrefix);
  const std::size_t end = rest.find("/renew");
  HttpRequest id;
  id.parameters["lease"] = rest.substr(0, end);
  const auto lease = id.Number("lease");
  if (end == rest.npos || !lease || !m_content.Renew(*lease)) {
    return ErrorReply(kNotFound, "lease_lapsed");
  }
  return HttpReply{200, "{}", false};
}

HttpReply StoreServer::Control(const HttpRequest& request) {
  const auto parsed =
      Capture([&] { return ParseStoreControl(request.body, faults()); });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    return ErrorReply(400, (error->subject + " " + error->message).c_str());
  }
  const auto& control = std::get<StoreControl>(parsed);
  SetFaults(control.faults);
  const std::scoped_lock lock(m_mutex);
  if (control.reads) {
    m_reads.set_rate(*control.reads);
  }
  if (control.writes) {
    m_writes.set_rate(*control.writes);
  }
  return HttpReply{200, "{}", false};
}

HttpReply StoreServer::Counts() const {
  const StoreCounts counts = this->counts();
  const std::size_t waiting = m_content.waiting();
  const auto number = [](std::uint64_t value) {
    return static_cast<json_int_t>(value);
  };
  return Json(
      200, JsonPtr(json_pack(
               "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "gets",
               number(counts.gets), "lists", number(counts.lists), "watches",
               number(counts.watches), "puts", number(counts.puts), "deletes",
               number(counts.deletes), "leases", number(counts.leases),
               "limited", number(counts.limited), "refused",
               number(counts.refused), "replies_lost",
               number(counts.replies_lost), "waiting", number(waiting))));
}

}  // namespace jacinthdeck::standins
