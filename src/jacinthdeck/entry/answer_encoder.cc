// Each kind of answer has an encoder function, looked up in a table.
#include "jacinthdeck/entry/answer_encoder.h"

#include <array>
#include <cstddef>
#include <cstdio>
#include <utility>

#include "jacinthdeck/http/status.h"

namespace jacinthdeck {

namespace {

using Encoder = EdgeResponse (*)(const TargetProtocol&, ForwardAnswer&);

//! Makes a response that no target sent; the body names the reason in plain
//! text.
[[nodiscard]] EdgeResponse ReasonResponse(int status,
                                          const ForwardAnswer& answer) {
  EdgeResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "text/plain"});
  response.body = std::string(kForwardReasonNames.Name(answer.reason)) + "\n";
  return response;
}

//! Formats a duration in seconds with three decimals.
[[nodiscard]] std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text{};
  (void)std::snprintf(text.data(), text.size(), "%.3f",
                      ToMilliseconds(duration) / 1000);
  return text.data();
}

[[nodiscard]] EdgeResponse EncodeResponse(const TargetProtocol& /*protocol*/,
                                          ForwardAnswer& answer) {
  EdgeResponse response;
  response.status = answer.response.status;
  response.reason = std::move(answer.response.reason);
  response.headers = std::move(answer.response.headers);
  response.body = std::move(answer.response.body);
  return response;
}

[[nodiscard]] EdgeResponse EncodeMerged(const TargetProtocol& protocol,
                                        ForwardAnswer& answer) {
  EdgeResponse response;
  response.status = http_status::kOk;
  std::string stamps;
  for (const std::string& stamp : answer.part_stamps) {
    stamps += stamps.empty() ? "" : ", ";
    stamps += stamp;
  }
  response.headers.push_back({protocol.part_stamps, std::move(stamps)});
  response.headers.push_back(
      {protocol.missing_parts, std::to_string(answer.missing_parts)});
  response.body = std::move(answer.records);
  return response;
}

//! Makes a response that tells the caller when to send the request again.
[[nodiscard]] EdgeResponse RetryResponse(int status,
                                         const ForwardAnswer& answer) {
  EdgeResponse response = ReasonResponse(status, answer);
  if (answer.retry_after) {
    response.headers.push_back(
        {"Retry-After", FormatSeconds(*answer.retry_after)});
  }
  return response;
}

[[nodiscard]] EdgeResponse EncodeNotRun(const TargetProtocol& /*protocol*/,
                                        ForwardAnswer& answer) {
  return RetryResponse(http_status::kUnavailable, answer);
}

[[nodiscard]] EdgeResponse EncodeUnauthorized(
    const TargetProtocol& /*protocol*/,
    ForwardAnswer& answer) {
  return ReasonResponse(http_status::kUnauthorized, answer);
}

[[nodiscard]] EdgeResponse EncodeOverLimit(const TargetProtocol& /*protocol*/,
                                           ForwardAnswer& answer) {
  return RetryResponse(http_status::kTooManyRequests, answer);
}

[[nodiscard]] EdgeResponse EncodeFailed(const TargetProtocol& /*protocol*/,
                                        ForwardAnswer& answer) {
  return ReasonResponse(http_status::kBadGateway, answer);
}

[[nodiscard]] EdgeResponse EncodeTimedOut(const TargetProtocol& /*protocol*/,
                                          ForwardAnswer& answer) {
  return ReasonResponse(http_status::kGatewayTimeout, answer);
}

[[nodiscard]] EdgeResponse EncodeNoRoute(const TargetProtocol& /*protocol*/,
                                         ForwardAnswer& answer) {
  return ReasonResponse(http_status::kNotFound, answer);
}

//! Encoders in the order of the enumerators of AnswerKind.
constexpr std::array<Encoder, 8> kEncoders{
    &EncodeResponse, &EncodeMerged,  &EncodeNotRun,       &EncodeFailed,
    &EncodeTimedOut, &EncodeNoRoute, &EncodeUnauthorized, &EncodeOverLimit};

}  // namespace

EdgeResponse EncodeAnswer(const TargetProtocol& protocol,
                          ForwardAnswer&& answer) {
  return kEncoders.at(static_cast<std::size_t>(answer.kind))(protocol, answer);
}

}  // namespace jacinthdeck
