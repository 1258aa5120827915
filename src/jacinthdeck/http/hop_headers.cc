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

}  // namespace

bool IsHopByHopHeader(std::string_view name, std::string_view connection) {
  const bool listed = std::ranges::any_of(
      kHopByHopHeaders,
      [&](std::string_view hop) { return HeaderNamesEqual(name, hop); });
  return listed || (!connection.empty() && HasToken(connection, name));
}

bool HasToken(std::string_view list, std::string_view token) {
  return boost::beast::http::token_list(
             boost::beast::string_view(list.data(), list.size()))
      .exists(boost::beast::string_view(token.data(), token.size()));
}

bool HeaderNamesEqual(std::string_view left, std::string_view right) {
  return boost::beast::iequals(
      boost::beast::string_view(left.data(), left.size()),
      boost::beast::string_view(right.data(), right.size()));
}

}  // namespace jacinthdeck
