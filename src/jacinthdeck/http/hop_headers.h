// Hop-by-hop headers, which apply to one connection and are never forwarded.
#ifndef JACINTHDECK_HTTP_HOP_HEADERS_H_
#define JACINTHDECK_HTTP_HOP_HEADERS_H_

#include <string_view>

namespace jacinthdeck {

/**
 * \brief Returns whether a header is a hop-by-hop header.
 * \param name Header name in any case.
 * \param connection Value of the message's Connection header, which may name
 * further hop-by-hop headers; may be empty.
 */
[[nodiscard]] bool IsHopByHopHeader(std::string_view name,
                                    std::string_view connection);

/*! \brief Returns whether a comma-separated header value contains a token,
 * compared without case. */
[[nodiscard]] bool HasToken(std::string_view list, std::string_view token);

/*! \brief Compares two header names without case. */
[[nodiscard]] bool HeaderNamesEqual(std::string_view left,
                                    std::string_view right);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_HOP_HEADERS_H_
