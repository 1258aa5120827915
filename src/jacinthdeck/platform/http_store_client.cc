// Store calls over HTTP and what their replies prove.
#include "jacinthdeck/platform/http_store_client.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>
#include <variant>

#include "jacinthdeck/platform/store_reply.h"

namespace jacinthdeck {

namespace {

constexpr long kOk = 200;
constexpr long kNoContent = 204;
constexpr long kAbsent = 404;
constexpr long kConflicting = 409;
constexpr long kTooLargeStatus = 413;
constexpr long kTooMany = 429;
constexpr long kOutage = 503;

[[nodiscard]] std::string KeyPath(const std::string& key) {
  return "/v1/kv/" + PercentEncode(key);
}

[[nodiscard]] std::string Number(std::uint64_t value) {
  return std::to_string(value);
}

[[nodiscard]] std::string Milliseconds(Duration duration) {
  return std::to_string(
      std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

/*! \brief Turns the store's own refusals into errors; each is sent before
 * anything is done. */
[[nodiscard]] Result<HttpAnswer> CheckRefusal(const HttpCall& call,
                                              HttpAnswer answer) {
  switch (answer.status) {
    case kTooMany:
      return Fail(ErrorCode::kRateLimited, call.path,
                  "store refused the call: rate exceeded");
    case kOutage:
      return Fail(ErrorCode::kUnavailable, call.path,
                  "store refused the call: outage");
    case kTooLargeStatus:
      return Fail(ErrorCode::kTooLarge, call.path,
                  "store refused the value: too large");
    default:
      return answer;
  }
}

[[nodiscard]] boost::leaf::error_id UnexpectedStatus(ErrorCode code,
                                                     const HttpAnswer& answer) {
  return Fail(code, "store reply",
              "has status " + std::to_string(answer.status));
}

/*! \brief Reads the reply of a write; one that cannot be read proves nothing.
 */
template <typename Operation>
[[nodiscard]] auto ReadWriteReply(Operation&& operation)
    -> decltype(operation()) {
  auto captured = Capture(std::forward<Operation>(operation));
  if (const auto* error = std::get_if<Error>(&captured)) {
    return Fail(ErrorCode::kOutcomeUnknown, error->subject,
                "reply of a write cannot be read: " + error->message);
  }
  return std::get<0>(std::move(captured));
}

}  // namespace

HttpStoreClient::HttpStoreClient(HttpEndpoint endpoint, Duration timeout)
    : m_client(std::move(endpoint)), m_timeout(timeout) {}

Result<std::optional<StoreItem>> HttpStoreClient::Get(const std::string& key) {
  BOOST_LEAF_AUTO(answer, Read({.path = KeyPath(key)}));
  if (answer.status == kAbsent) {
    return std::optional<StoreItem>();
  }
  if (answer.status != kOk) {
    return UnexpectedStatus(ErrorCode::kCorrupt, answer);
  }
  BOOST_LEAF_AUTO(item, internal::ReadStoreItem(answer.body));
  return std::optional(std::move(item));
}

Result<std::vector<StoreItem>> HttpStoreClient::List(
    const std::string& prefix) {
  BOOST_LEAF_AUTO(answer,
                  Read({.path = "/v1/kv?prefix=" + PercentEncode(prefix)}));
  if (answer.status != kOk) {
    return UnexpectedStatus(ErrorCode::kCorrupt, answer);
  }
  return internal::ReadStoreItems(answer.body);
}

Result<StoreWrite> HttpStoreClient::Put(const StorePut& put) {
  if (put.value.size() > kMaxStoreValueBytes) {
    return Fail(ErrorCode::kTooLarge, put.key,
                "value has " + std::to_string(put.value.size()) +
                    " bytes, at most " + std::to_string(kMaxStoreValueBytes) +
                    " fit");
  }
  std::string path = KeyPath(put.key) + "?prev=" + Number(put.previous.raw());
  if (put.lease) {
    path += "&lease=" + Number(put.lease->raw());
  }
  BOOST_LEAF_AUTO(answer,
                  Write({.verb = "PUT", .path = path, .body = put.value}));
  if (answer.status == kAbsent && put.lease) {
    return Fail(ErrorCode::kNotFound, "lease", "has lapsed");
  }
  return ReadWriteReply([&]() -> Result<StoreWrite> {
    if (answer.status != kOk && answer.status != kConflicting) {
      return UnexpectedStatus(ErrorCode::kOutcomeUnknown, answer);
    }
    BOOST_LEAF_AUTO(revision, internal::ReadStoreRevision(answer.body));
    return StoreWrite{answer.status == kOk, revision};
  });
}

Result<StoreWrite> HttpStoreClient::Delete(const std::string& key,
                                           StoreRevision previous) {
  const std::string path = KeyPath(key) + "?prev=" + Number(previous.raw());
  BOOST_LEAF_AUTO(answer, Write({.verb = "DELETE", .path = path}));
  return ReadWriteReply([&]() -> Result<StoreWrite> {
    if (answer.status == kOk) {
      return StoreWrite{true, kNoRevision};
    }
    if (answer.status != kConflicting) {
      return UnexpectedStatus(ErrorCode::kOutcomeUnknown, answer);
    }
    BOOST_LEAF_AUTO(revision, internal::ReadStoreRevision(answer.body));
    return StoreWrite{false, revision};
  });
}

Result<std::optional<StoreItem>> HttpStoreClient::Watch(const std::string& key,
                                                        StoreRevision after,
                                                        Duration timeout) {
  const std::string path = "/v1/watch/" + PercentEncode(key) +
                           "?after=" + Number(after.raw()) +
                           "&timeout_ms=" + Milliseconds(timeout);
  BOOST_LEAF_AUTO(answer, Read({.path = path, .timeout = timeout + m_timeout}));
  if (answer.status == kNoContent) {
    return std::optional<StoreItem>();
  }
  if (answer.status == kAbsent) {
    return Fail(ErrorCode::kNotFound, key, "is gone");
  }
  if (answer.status != kOk) {
    return UnexpectedStatus(ErrorCode::kCorrupt, answer);
  }
  BOOST_LEAF_AUTO(item, internal::ReadStoreItem(answer.body));
  return std::optional(std::move(item));
}

Result<LeaseId> HttpStoreClient::GrantLease(Duration ttl) {
  const std::string path = "/v1/lease?ttl_ms=" + Milliseconds(ttl);
  BOOST_LEAF_AUTO(answer, Write({.verb = "POST", .path = path}));
  return ReadWriteReply([&]() -> Result<LeaseId> {
    if (answer.status != kOk) {
      return UnexpectedStatus(ErrorCode::kOutcomeUnknown, answer);
    }
    return internal::ReadLease(answer.body);
  });
}

Result<LeaseId> HttpStoreClient::RenewLease(LeaseId lease) {
  const std::string path = "/v1/lease/" + Number(lease.raw()) + "/renew";
  BOOST_LEAF_AUTO(answer, Write({.verb = "POST", .path = path}));
  if (answer.status == kAbsent) {
    return Fail(ErrorCode::kNotFound, "lease", "has lapsed");
  }
  if (answer.status != kOk) {
    return UnexpectedStatus(ErrorCode::kOutcomeUnknown, answer);
  }
  return lease;
}

Result<HttpAnswer> HttpStoreClient::Read(HttpCall call) const {
  call.timeout = std::max(call.timeout, m_timeout);
  BOOST_LEAF_AUTO(answer, m_client.Call(call));
  return CheckRefusal(call, std::move(answer));
}

Result<HttpAnswer> HttpStoreClient::Write(HttpCall call) const {
  call.timeout = m_timeout;
  // Without a complete reply the write may be in force. Calling that a failure
  // makes an operator's accepted change look refused; reading back settles it.
  BOOST_LEAF_AUTO(answer, ReadWriteReply([&] { return m_client.Call(call); }));
  return CheckRefusal(call, std::move(answer));
}

}  // namespace jacinthdeck
