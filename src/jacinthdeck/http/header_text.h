// Helpers for reading and writing HTTP header text.
#ifndef JACINTHDECK_HTTP_HEADER_TEXT_H_
#define JACINTHDECK_HTTP_HEADER_TEXT_H_

#include <boost/beast/core/string_type.hpp>
#include <string>
#include <string_view>

namespace jacinthdeck::internal {

/*! \brief Converts a Boost.Beast string view to a std::string_view. */
[[nodiscard]] inline std::string_view ToStringView(
    boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/*! \brief Appends the line `name: value` with its line end. */
inline void AppendHeader(std::string& out,
                         std::string_view name,
                         std::string_view value) {
  out += name;
  out += ": ";
  out += value;
  out += "\r\n";
}

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_HTTP_HEADER_TEXT_H_
