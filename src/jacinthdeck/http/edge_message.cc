// Finds request headers by name.
#include "jacinthdeck/http/edge_message.h"

#include <algorithm>

#include "jacinthdeck/http/hop_headers.h"

namespace jacinthdeck {

std::string_view EdgeRequest::Find(std::string_view name) const {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return HeaderNamesEqual(header.name, name);
  });
  return found == headers.end() ? std::string_view() : found->value;
}

}  // namespace jacinthdeck
