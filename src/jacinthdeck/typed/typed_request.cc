// Checks the client account, deadline and body of a request.
#include "jacinthdeck/typed/typed_request.h"

#include <charconv>
#include <utility>

namespace jacinthdeck {

namespace {

//! Longest deadline that a caller may set, in milliseconds.
constexpr std::uint64_t kMaxDeadlineMs = 60'000;
//! Longest name of a client account, in bytes.
constexpr std::size_t kMaxTenantLength = 64;

[[nodiscard]] Result<Duration> ReadDeadline(std::string_view text,
                                            Duration fallback) {
  if (text.empty()) {
    return fallback;
  }
  std::uint64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || end != text.data() + text.size() ||
      milliseconds == 0 || milliseconds > kMaxDeadlineMs) {
    return Fail(ErrorCode::kInvalidArgument, "X-Deadline-Ms",
                "is \"" + std::string(text) +
                    "\"; expected whole milliseconds from 1 to " +
                    std::to_string(kMaxDeadlineMs));
  }
  return Duration(std::chrono::milliseconds(milliseconds));
}

[[nodiscard]] Result<TenantId> ReadTenant(const TypedRequest& request) {
  if (request.account) {
    return *request.account;
  }
  const std::string_view text = request.tenant;
  if (text.size() > kMaxTenantLength) {
    return Fail(
        ErrorCode::kInvalidArgument, "X-Tenant",
        "is longer than " + std::to_string(kMaxTenantLength) + " characters");
  }
  return TenantId(text.empty() ? "default" : std::string(text));
}

}  // namespace

Result<Call> CheckTypedRequest(const std::shared_ptr<const Schema>& schema,
                               const TypedRequest& request,
                               TimePoint now) {
  if (schema == nullptr) {
    return Fail(ErrorCode::kUnavailable, "", "no schema is in force here yet");
  }
  Call call;
  call.method =
      schema->Find(std::string(request.service), std::string(request.method));
  if (call.method == nullptr) {
    return Fail(
        ErrorCode::kNotFound,
        std::string(request.service) + "." + std::string(request.method),
        "is not declared in the schema");
  }
  BOOST_LEAF_ASSIGN(call.tenant, ReadTenant(request));
  BOOST_LEAF_AUTO(deadline,
                  ReadDeadline(request.deadline_ms, call.method->deadline));
  BOOST_LEAF_AUTO(checked, schema->Check(*call.method, request.body));
  call.deadline = now + deadline;
  call.body = std::make_shared<const std::string>(std::move(checked.body));
  call.key = checked.key;
  call.fingerprint = checked.fingerprint;
  return call;
}

}  // namespace jacinthdeck
