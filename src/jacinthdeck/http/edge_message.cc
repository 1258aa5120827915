// Finds request headers by name, and estimates the memory of requests.
#include "jacinthdeck/http/edge_message.h"

#include <algorithm>

#include "jacinthdeck/http/hop_headers.h"

namespace jacinthdeck {

namespace {

//! Length of the shortest header field.
constexpr std::size_t kMinFieldLength = 4;

}  // namespace

std::uint64_t LargestRequestBytes(const EdgeLimits& limits) {
  return limits.body_bytes + std::uint64_t{limits.header_bytes} *
                                 (2 + kFieldBytes / kMinFieldLength);
}

std::size_t EdgeRequest::bytes() const {
  std::size_t bytes = target.size() + body.size();
  for (const Header& header : headers) {
    // The attempts share a copy of the text.
    bytes += 2 * (header.name.size() + header.value.size()) + kFieldBytes;
  }
  return bytes;
}

std::string_view EdgeRequest::Find(std::string_view name) const {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return HeaderNamesEqual(header.name, name);
  });
  return found == headers.end() ? std::string_view() : found->value;
}

}  // namespace jacinthdeck
