// The id that makes a resend recognisable: it names the node life that the
// request is bound to.
#ifndef JACINTHDECK_CORE_REQUEST_ID_H_
#define JACINTHDECK_CORE_REQUEST_ID_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/core/ids.h"

namespace jacinthdeck {

/**
 * \brief Identifies one request of a caller across resends.
 *
 * Text form: `<node>.<incarnation>.<nonce>`. The node and incarnation are the
 * token that the caller got with its entry addresses, the nonce is the caller's
 * own.
 */
struct RequestId {
  //! Node that alone may run the request.
  NodeId node;
  //! Life of that node; a later life must not run it.
  Incarnation incarnation;
  //! Chosen by the caller, unique among its requests.
  std::string nonce;

  [[nodiscard]] auto operator<=>(const RequestId&) const = default;
  [[nodiscard]] bool operator==(const RequestId&) const = default;

  /*! \brief Renders the text form. */
  [[nodiscard]] std::string ToString() const;

  /**
   * \brief Reads the text form.
   * \param text `<node>.<incarnation>.<nonce>`; the node may hold letters,
   * digits, '-' and '_', the nonce the same, each 1 to 64 characters. \return
   * The id, or nothing if the text is not of that form.
   */
  [[nodiscard]] static std::optional<RequestId> Parse(std::string_view text);
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_REQUEST_ID_H_
