// Parses numbers in headers and query parameters, and builds JSON replies.
#include "http/http_message.h"

#include <charconv>
#include <system_error>

#include "jacinthdeck/core/json.h"

namespace jacinthdeck::standins {

namespace {

using Fields = std::map<std::string, std::string>;

[[nodiscard]] std::optional<std::uint64_t> FindNumber(const Fields& fields,
                                                      const std::string& name) {
  const auto found = fields.find(name);
  if (found == fields.end()) {
    return std::nullopt;
  }
  const std::string& text = found->second;
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::optional<std::uint64_t> HttpRequest::ParameterNumber(
    const std::string& name) const {
  return FindNumber(parameters, name);
}

std::optional<std::uint64_t> HttpRequest::HeaderNumber(
    const std::string& name) const {
  return FindNumber(headers, name);
}

HttpReply JsonReply(unsigned int status, json_t* value) {
  const JsonPtr owned(value);
  return HttpReply{status, DumpJson(*owned), false};
}

}  // namespace jacinthdeck::standins
