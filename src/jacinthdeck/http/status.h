// HTTP status codes that this project sends or interprets.
#ifndef JACINTHDECK_HTTP_STATUS_H_
#define JACINTHDECK_HTTP_STATUS_H_

/*! \brief Status codes, named as in RFC 9110 and RFC 6585. */
namespace jacinthdeck::http_status {

inline constexpr int kContinue = 100;
inline constexpr int kOk = 200;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kExpectationFailed = 417;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeaderTooLarge = 431;
inline constexpr int kInternalError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
//! Highest status code that RFC 9110 allows.
inline constexpr int kHighest = 599;

}  // namespace jacinthdeck::http_status

#endif  // JACINTHDECK_HTTP_STATUS_H_
