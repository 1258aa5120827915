// Recognizes hop-by-hop headers with the token list of Boost.Beast.
#include "jacinthdeck/http/hop_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace jacinthdeck {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders{
    "connection", "keep-alive",       "proxy-authenticate",
    "te",         "trailer",          "transfer-encoding",
    "upgrade",    "proxy-connection", "proxy-authorization"};

[[nodiscard]] bool IsNameLess(std::string_view left, std::string_view right) {
  return boost::beast::iless()(
      boost::beast::string_view(left.data(), left.size()),
      boost::beast::string_view(right.data(), right.size()));
}

}  // namespace

HopByHopHeaders::HopByHopHeaders(std::string_view connection) {
  for (const auto token : boost::beast::http::token_list(
           boost::beast::string_view(connection.data(), connection.size()))) {
    m_added.emplace_back(token.data(), token.size());
  }
  std::ranges::sort(m_added, IsNameLess);
}

bool HopByHopHeaders::Contains(std::string_view name) const {
  return std::ranges::any_of(kHopByHopHeaders,
                             [&](std::string_view hop) {
                               return HeaderNamesEqual(name, hop);
                             }) ||
         std::ranges::binary_search(m_added, name, IsNameLess);
}

bool HeaderNamesEqual(std::string_view left, std::string_view right) {
  return boost::beast::iequals(
      boost::beast::string_view(left.data(), left.size()),
      boost::beast::string_view(right.data(), right.size()));
}

}  // namespace jacinthdeck
