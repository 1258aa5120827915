// Formats and parses endpoints.
#include "jacinthdeck/core/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace jacinthdeck {

std::string Endpoint::ToString() const {
  return address + ":" + std::to_string(port);
}

Result<Endpoint> Endpoint::Parse(std::string_view text) {
  Endpoint endpoint;
  const std::size_t colon = text.rfind(':');
  const char* end = text.data() + text.size();
  // The end alone does not show it: a port out of range is passed over, too.
  const auto port =
      colon == text.npos
          ? std::from_chars_result{end, std::errc::invalid_argument}
          : std::from_chars(text.data() + colon + 1, end, endpoint.port);
  const bool has_port = port.ec == std::errc() && port.ptr == end;
  endpoint.address = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (!has_port || inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
    return Fail(ErrorCode::kInvalidArgument, "address",
                "is \"" + std::string(text) + "\"; expected IPv4:port");
  }
  return endpoint;
}

}  // namespace jacinthdeck
