// A request and its reply, as the stand-ins see them.
#ifndef JACINTHDECK_STANDINS_HTTP_HTTP_MESSAGE_H_
#define JACINTHDECK_STANDINS_HTTP_HTTP_MESSAGE_H_

#include <jansson.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jacinthdeck::standins {

/*! \brief One request, decoded. */
struct HttpRequest {
  std::string verb;
  //! Percent-encoded, without the query string.
  std::string path;
  std::map<std::string, std::string> parameters;
  //! Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  //! Whether it is the first request of its connection.
  bool first_on_connection = false;

  /*! \brief Reads a query parameter as a whole number. */
  [[nodiscard]] std::optional<std::uint64_t> ParameterNumber(
      const std::string& name) const;

  /*! \brief Reads a header as a whole number; the name is in lower case. */
  [[nodiscard]] std::optional<std::uint64_t> HeaderNumber(
      const std::string& name) const;
};

/*! \brief What is sent back. */
struct HttpReply {
  unsigned int status = 200;
  //! JSON text; may be empty.
  std::string body;
  //! Close the connection without a reply.
  bool drop_connection = false;
  //! Beside those of the body.
  std::map<std::string, std::string> headers = {};
};

/*! \brief A new JSON value that its container takes over. */
[[nodiscard]] inline json_t* JsonNumber(std::uint64_t value) {
  return json_integer(static_cast<json_int_t>(value));
}

/*! \brief Reply with a JSON value, which it takes over. */
[[nodiscard]] HttpReply JsonReply(unsigned int status, json_t* value);

/*! \brief Reply that closes the connection without a byte. */
[[nodiscard]] inline HttpReply DropConnection() {
  return HttpReply{0, "", true};
}

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_HTTP_HTTP_MESSAGE_H_
