// Headers that concern one connection only and are never passed on.
#ifndef JACINTHDECK_HTTP_HOP_HEADERS_H_
#define JACINTHDECK_HTTP_HOP_HEADERS_H_

#include <string_view>

namespace jacinthdeck {

/**
 * \brief Tells whether a header ends at the next hop.
 * \param name Name in any case.
 * \param connection Value of the Connection header, which may name more.
 */
[[nodiscard]] bool IsHopByHopHeader(std::string_view name,
                                    std::string_view connection);

/*! \brief Finds a token in a comma-separated header value, in any case. */
[[nodiscard]] bool HasToken(std::string_view list, std::string_view token);

/*! \brief Compares header names. */
[[nodiscard]] bool HeaderNamesEqual(std::string_view left,
                                    std::string_view right);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_HOP_HEADERS_H_
