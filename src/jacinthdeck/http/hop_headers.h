// Hop-by-hop headers, which apply to one connection and are never forwarded.
#ifndef JACINTHDECK_HTTP_HOP_HEADERS_H_
#define JACINTHDECK_HTTP_HOP_HEADERS_H_

#include <string_view>
#include <vector>

namespace jacinthdeck {

/**
 * \brief Names of the hop-by-hop headers of one message.
 *
 * The names that the message itself adds are sorted once: it may have thousands
 * of them and as many headers.
 */
class HopByHopHeaders {
 public:
  /*! \brief Reads the names that a message adds.
   * \param connection Value of its Connection header, which must outlive the
   * object; may be empty. */
  explicit HopByHopHeaders(std::string_view connection);

  /*! \brief Returns whether a header is a hop-by-hop header; its name may be in
   * any case. */
  [[nodiscard]] bool Contains(std::string_view name) const;

 private:
  //! In ascending order without case.
  std::vector<std::string_view> m_added;
};

/*! \brief Compares two header names without case. */
[[nodiscard]] bool HeaderNamesEqual(std::string_view left,
                                    std::string_view right);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_HOP_HEADERS_H_
