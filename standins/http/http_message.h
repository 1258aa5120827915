// HTTP requests and replies as the handlers of the stand-ins see them.
#ifndef JACINTHDECK_STANDINS_HTTP_HTTP_MESSAGE_H_
#define JACINTHDECK_STANDINS_HTTP_HTTP_MESSAGE_H_

#include <jansson.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jacinthdeck::standins {

/*! \brief Decoded HTTP request. */
struct HttpRequest {
  std::string verb;
  //! Path as received, percent-encoded, without the query string.
  std::string path;
  //! Parameters of the query string.
  std::map<std::string, std::string> parameters;
  //! Headers by their names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  //! Whether this is the first request on its connection.
  bool first_on_connection = false;

  /*! \brief Reads a query parameter as an unsigned integer; nothing if it is
   * absent or not one. */
  [[nodiscard]] std::optional<std::uint64_t> ParameterNumber(
      const std::string& name) const;

  /*! \brief Reads a header, given by its name in lower case, as an unsigned
   * integer; nothing if it is absent or not one. */
  [[nodiscard]] std::optional<std::uint64_t> HeaderNumber(
      const std::string& name) const;
};

/*! \brief HTTP reply of a handler. */
struct HttpReply {
  unsigned int status = 200;
  //! JSON text, or empty for a reply without a body.
  std::string body;
  //! Closes the connection without a reply; the other members are unused.
  bool drop_connection = false;
  //! Headers besides Content-Type and Content-Length.
  std::map<std::string, std::string> headers = {};
};

/*! \brief Returns a new JSON number; the caller owns the reference. */
[[nodiscard]] inline json_t* JsonNumber(std::uint64_t value) {
  return json_integer(static_cast<json_int_t>(value));
}

/*! \brief Returns a reply with a JSON value and releases the caller's reference
 * to it. */
[[nodiscard]] HttpReply JsonReply(unsigned int status, json_t* value);

/*! \brief Returns a reply that closes the connection without sending a byte. */
[[nodiscard]] inline HttpReply DropConnection() {
  return HttpReply{0, "", true};
}

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_HTTP_HTTP_MESSAGE_H_
