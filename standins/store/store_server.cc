// Parses and answers the calls of the platform's store.
#include "store/store_server.h"

#include <jansson.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"
#include "jacinthdeck/http/status.h"
#include "platform/base64.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::size_t kMaxConnections = 2000;
constexpr std::uint64_t kMaxWatchMs = 30000;
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
//! Keys that operators and targets own; a transaction must not write them.
constexpr std::string_view kReadOnlyPrefixes[] = {"op/", "servers/"};
constexpr std::string_view kRenewPrefix = "/-/kv-keep/";
constexpr std::string_view kRevokePrefix = "/-/kv-lease-end/";

[[nodiscard]] HttpReply ReplyWithJson(unsigned int status, json_t* value) {
  const JsonPtr owned(value);
  return HttpReply{status, DumpJson(*owned), false};
}

[[nodiscard]] HttpReply ErrorReply(unsigned int status, const char* text) {
  return ReplyWithJson(status, json_pack("{s:s}", "error", text));
}

[[nodiscard]] json_t* ToJson(const KeyValue& item) {
  json_t* json = json_pack("{s:o, s:o}", "key",
                           json_stringn(item.key.data(), item.key.size()),
                           "revision", JsonNumber(item.revision));
  if (!item.value) {
    json_object_set_new(json, "deleted", json_true());
    return json;
  }
  const std::string text = platform::EncodeBase64(*item.value);
  json_object_set_new(json, "value", json_string(text.c_str()));
  json_object_set_new(json, "created", JsonNumber(item.created_revision));
  json_object_set_new(json, "leaseId", JsonNumber(item.lease));
  return json;
}

[[nodiscard]] json_t* ToJson(const std::vector<KeyValue>& items) {
  json_t* list = json_array();
  for (const KeyValue& item : items) {
    json_array_append_new(list, ToJson(item));
  }
  return list;
}

[[nodiscard]] std::string Parameter(const HttpRequest& request,
                                    const std::string& name) {
  const auto found = request.parameters.find(name);
  return found == request.parameters.end() ? "" : found->second;
}

[[nodiscard]] std::uint64_t ParseLeaseId(const HttpRequest& request,
                                         std::string_view prefix) {
  std::uint64_t lease = 0;
  const std::string& path = request.path;
  (void)std::from_chars(path.data() + prefix.size(), path.data() + path.size(),
                        lease);
  return lease;
}

[[nodiscard]] Result<PutItem> ReadPut(const JsonReader& item) {
  PutItem put;
  BOOST_LEAF_ASSIGN(put.key, item.String("key"));
  BOOST_LEAF_AUTO(text, item.String("value"));
  BOOST_LEAF_ASSIGN(put.value, platform::DecodeBase64(text));
  if (item.Has("leaseId")) {
    BOOST_LEAF_ASSIGN(put.lease, item.Unsigned("leaseId", kMaxNumber));
  }
  return put;
}

[[nodiscard]] Result<Transaction> ReadTransaction(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "txn"));
  const JsonReader message(json.get(), "txn");
  Transaction transaction;
  if (message.Has("precondition")) {
    BOOST_LEAF_AUTO(rows, message.Array("precondition"));
    for (const JsonReader& row : rows) {
      Condition condition;
      BOOST_LEAF_ASSIGN(condition.key, row.String("key"));
      BOOST_LEAF_ASSIGN(condition.revision,
                        row.Unsigned("revision", kMaxNumber));
      transaction.conditions.push_back(condition);
    }
  }
  if (message.Has("puts")) {
    BOOST_LEAF_AUTO(puts, message.Array("puts"));
    for (const JsonReader& item : puts) {
      BOOST_LEAF_AUTO(put, ReadPut(item));
      transaction.puts.push_back(put);
    }
  }
  if (message.Has("remove")) {
    BOOST_LEAF_AUTO(keys, message.Array("remove"));
    for (const JsonReader& key : keys) {
      BOOST_LEAF_AUTO(name, key.AsString());
      transaction.removes.push_back(name);
    }
  }
  return transaction;
}

[[nodiscard]] bool IsReadOnlyKey(const std::string& key) {
  return std::ranges::any_of(kReadOnlyPrefixes, [&](std::string_view prefix) {
    return key.starts_with(prefix);
  });
}

[[nodiscard]] bool WritesReadOnlyKey(const Transaction& transaction) {
  return std::ranges::any_of(
             transaction.puts,
             [](const PutItem& put) { return IsReadOnlyKey(put.key); }) ||
         std::ranges::any_of(transaction.removes, IsReadOnlyKey);
}

}  // namespace

/*! \brief Kind of call: how it is matched, counted, limited and answered. */
struct StoreServer::Route {
  std::string_view verb;
  //! Prefix of the path.
  std::string_view prefix;
  //! Count to increment.
  std::uint64_t StoreCounts::*count = nullptr;
  //! Rate limit to apply.
  RateLimit StoreServer::*rate = nullptr;
  //! Whether the call changes the store, so that lose_reply_share applies to
  //! it.
  bool writes = false;
  CallHandler handler = nullptr;
};

StoreServer::StoreServer(std::uint16_t port,
                         const Clock& clock,
                         const StoreRates& rates,
                         std::uint64_t seed)
    : m_clock(clock),
      m_content(clock),
      m_read_limit(rates.reads_per_second),
      m_write_limit(rates.writes_per_second),
      m_random(seed),
      m_server({.port = port, .max_connections = kMaxConnections},
               [this](const HttpRequest& request) { return Handle(request); }) {
}

StoreServer::~StoreServer() {
  m_stopping = true;
  m_content.InterruptWatches();
}

StoreCounts StoreServer::counts() const {
  const std::scoped_lock lock(m_mutex);
  return m_counts;
}

void StoreServer::Apply(const StoreControl& control) {
  {
    const std::scoped_lock lock(m_mutex);
    m_faults = control.faults;
    if (control.reads_per_second) {
      m_read_limit.set_rate(*control.reads_per_second);
    }
    if (control.writes_per_second) {
      m_write_limit.set_rate(*control.writes_per_second);
    }
  }
  if (control.restore) {
    (void)m_content.Restore();
  }
  if (control.take_snapshot) {
    m_content.TakeSnapshot();
  }
  Transaction transaction;
  for (const ControlPut& put : control.puts) {
    if (put.ttl > Duration::zero() &&
        m_content.RenewLeaseIfUnchanged(put.key, put.value)) {
      continue;
    }
    const std::uint64_t lease =
        put.ttl > Duration::zero() ? m_content.Grant(put.ttl) : 0;
    transaction.puts.push_back({put.key, put.value, lease});
  }
  transaction.removes = control.removes;
  if (!transaction.puts.empty() || !transaction.removes.empty()) {
    std::uint64_t revision = 0;
    (void)m_content.Apply(transaction, revision);
  }
  if (control.compact) {
    m_content.Compact();
  }
  if (control.faults.outage != Outage::kNone) {
    m_content.InterruptWatches();
  }
}

HttpReply StoreServer::Handle(const HttpRequest& request) {
  if (request.path == "/control") {
    return request.verb == "POST" ? Control(request) : Counts();
  }
  HttpReply reply = AnswerWithFaults(request);
  reply.headers.insert_or_assign("Store-Era", std::to_string(m_content.era()));
  return reply;
}

HttpReply StoreServer::AnswerWithFaults(const HttpRequest& request) {
  const StoreFaults current = faults();
  if (current.delay > Duration::zero()) {
    std::this_thread::sleep_for(current.delay);
  }
  if (current.outage == Outage::kNone) {
    return Dispatch(request);
  }
  {
    const std::scoped_lock lock(m_mutex);
    ++m_counts.refused;
  }
  while (faults().outage == Outage::kSilent && !m_stopping) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  // A call that arrived in a kDrop or kSilent outage gets no reply, also when
  // the outage has ended meanwhile.
  return current.outage == Outage::kBusy
             ? ErrorReply(http_status::kUnavailable, "busy")
             : DropConnection();
}

HttpReply StoreServer::Dispatch(const HttpRequest& request) {
  static constexpr std::array<Route, 7> kRoutes{{
      {"GET", "/-/kv-key", &StoreCounts::reads, &StoreServer::m_read_limit,
       false, &StoreServer::Get},
      {"GET", "/-/kv-range", &StoreCounts::reads, &StoreServer::m_read_limit,
       false, &StoreServer::Range},
      {"GET", "/-/kv-watch", &StoreCounts::watches, &StoreServer::m_read_limit,
       false, &StoreServer::Watch},
      {"POST", "/-/kv-txn", &StoreCounts::writes, &StoreServer::m_write_limit,
       true, &StoreServer::Write},
      {"POST", "/-/kv-lease", &StoreCounts::writes, &StoreServer::m_write_limit,
       true, &StoreServer::Grant},
      {"POST", kRenewPrefix, &StoreCounts::renewals, &StoreServer::m_read_limit,
       true, &StoreServer::Renew},
      {"DELETE", kRevokePrefix, &StoreCounts::writes,
       &StoreServer::m_write_limit, true, &StoreServer::Revoke},
  }};
  const auto route = std::ranges::find_if(kRoutes, [&](const Route& candidate) {
    return candidate.verb == request.verb &&
           request.path.starts_with(candidate.prefix);
  });
  if (route == kRoutes.end()) {
    return ErrorReply(http_status::kNotFound, "unknown call");
  }
  if (!Admit(*route)) {
    return ErrorReply(http_status::kTooManyRequests, "rate");
  }
  HttpReply reply = (this->*route->handler)(request);
  return route->writes && ShouldLoseReply() ? DropConnection() : reply;
}

HttpReply StoreServer::Get(const HttpRequest& request) {
  const auto item = m_content.Get(Parameter(request, "key"));
  if (!item) {
    return ErrorReply(http_status::kNotFound, "no such key");
  }
  json_t* json = ToJson(*item);
  json_object_set_new(json, "readRev", JsonNumber(m_content.revision()));
  return ReplyWithJson(200, json);
}

HttpReply StoreServer::Range(const HttpRequest& request) {
  const KeyPage page = m_content.Range(Parameter(request, "prefix"),
                                       Parameter(request, "after"));
  return ReplyWithJson(
      200,
      json_pack("{s:o, s:b, s:o}", "items", ToJson(page.items), "hasMore",
                page.has_more ? 1 : 0, "readRev", JsonNumber(page.revision)));
}

HttpReply StoreServer::Watch(const HttpRequest& request) {
  const std::uint64_t wait =
      std::min(request.ParameterNumber("waitMs").value_or(0), kMaxWatchMs);
  const WatchResult result =
      m_content.Watch(Parameter(request, "prefix"),
                      request.ParameterNumber("after").value_or(0),
                      std::chrono::milliseconds(wait));
  const StoreFaults current = faults();
  while (faults().watches_unanswered && !m_stopping) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  if (current.outage != Outage::kNone || current.watches_unanswered ||
      m_stopping) {
    return DropConnection();
  }
  if (result.compacted) {
    return ErrorReply(http_status::kGone, "history is gone");
  }
  return ReplyWithJson(
      200, json_pack("{s:o, s:o}", "events", ToJson(result.events), "readRev",
                     JsonNumber(result.revision)));
}

HttpReply StoreServer::Write(const HttpRequest& request) {
  const auto parsed = Capture([&] { return ReadTransaction(request.body); });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    return ErrorReply(http_status::kBadRequest, error->message.c_str());
  }
  const auto& transaction = std::get<0>(parsed);
  if (WritesReadOnlyKey(transaction)) {
    return ErrorReply(http_status::kForbidden, "key of another owner");
  }
  std::uint64_t revision = 0;
  switch (m_content.Apply(transaction, revision)) {
    case TransactionOutcome::kApplied:
      return ReplyWithJson(
          200, json_pack("{s:o}", "revision", JsonNumber(revision)));
    case TransactionOutcome::kNoLease:
      return ErrorReply(http_status::kNotFound, "no such lease");
    case TransactionOutcome::kConflict:
      break;
  }
  std::vector<KeyValue> current;
  for (const Condition& condition : transaction.conditions) {
    if (const auto item = m_content.Get(condition.key)) {
      current.push_back(*item);
    }
  }
  return ReplyWithJson(http_status::kPreconditionFailed,
                       json_pack("{s:o}", "items", ToJson(current)));
}

HttpReply StoreServer::Grant(const HttpRequest& request) {
  const auto parsed = Capture([&]() -> Result<std::uint64_t> {
    BOOST_LEAF_AUTO(json, ParseJson(request.body, "lease"));
    return JsonReader(json.get(), "lease").Unsigned("ttlMs", 600000);
  });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    return ErrorReply(http_status::kBadRequest, error->message.c_str());
  }
  const std::uint64_t ttl = std::get<0>(parsed);
  const std::uint64_t lease = m_content.Grant(std::chrono::milliseconds(ttl));
  return ReplyWithJson(
      200, json_pack("{s:o, s:o}", "leaseId", JsonNumber(lease), "ttlMs",
                     JsonNumber(ttl)));
}

HttpReply StoreServer::Renew(const HttpRequest& request) {
  const auto ttl = m_content.Renew(ParseLeaseId(request, kRenewPrefix));
  if (!ttl) {
    return ErrorReply(http_status::kNotFound, "no such lease");
  }
  constexpr int kMicrosecondsPerMillisecond = 1000;
  return ReplyWithJson(
      200, json_pack("{s:o}", "ttlMs",
                     JsonNumber(static_cast<std::uint64_t>(ttl->count()) /
                                kMicrosecondsPerMillisecond)));
}

HttpReply StoreServer::Revoke(const HttpRequest& request) {
  return m_content.Revoke(ParseLeaseId(request, kRevokePrefix))
             ? ReplyWithJson(200, json_object())
             : ErrorReply(http_status::kNotFound, "no such lease");
}

HttpReply StoreServer::Control(const HttpRequest& request) {
  const auto parsed =
      Capture([&] { return ParseStoreControl(request.body, faults()); });
  if (const auto* error = std::get_if<Error>(&parsed)) {
    const std::string text = error->subject + " " + error->message;
    return ErrorReply(http_status::kBadRequest, text.c_str());
  }
  Apply(std::get<0>(parsed));
  return ReplyWithJson(
      200, json_pack("{s:o}", "revision", JsonNumber(m_content.revision())));
}

HttpReply StoreServer::Counts() const {
  const StoreCounts totals = counts();
  return ReplyWithJson(
      200,
      json_pack("{s:o, s:o, s:o, s:o, s:o, s:o, s:o}", "reads",
                JsonNumber(totals.reads), "watches", JsonNumber(totals.watches),
                "writes", JsonNumber(totals.writes), "renewals",
                JsonNumber(totals.renewals), "limited",
                JsonNumber(totals.limited), "refused",
                JsonNumber(totals.refused), "replies_lost",
                JsonNumber(totals.replies_lost)));
}

bool StoreServer::Admit(const Route& route) {
  const std::scoped_lock lock(m_mutex);
  ++(m_counts.*route.count);
  if ((this->*route.rate).Take(m_clock.Now())) {
    return true;
  }
  ++m_counts.limited;
  return false;
}

bool StoreServer::ShouldLoseReply() {
  const std::scoped_lock lock(m_mutex);
  const bool lost = m_faults.lose_reply_share > 0 &&
                    m_random.Unit() < m_faults.lose_reply_share;
  m_counts.replies_lost += lost ? 1 : 0;
  return lost;
}

StoreFaults StoreServer::faults() const {
  const std::scoped_lock lock(m_mutex);
  return m_faults;
}

}  // namespace jacinthdeck::standins
