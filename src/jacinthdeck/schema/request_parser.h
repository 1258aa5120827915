// Checks request bodies with the FlatBuffers parser.
#ifndef JACINTHDECK_SCHEMA_REQUEST_PARSER_H_
#define JACINTHDECK_SCHEMA_REQUEST_PARSER_H_

#include <flatbuffers/idl.h>

#include <mutex>
#include <string>

#include "jacinthdeck/core/result.h"
#include "jacinthdeck/schema/checked_request.h"
#include "jacinthdeck/schema/method.h"

namespace jacinthdeck::internal {

/*! \brief One FlatBuffers parser behind a lock, since it keeps state while it
 * parses. */
class RequestParser {
 public:
  RequestParser();

  /*! \brief Gives the services that were read. */
  [[nodiscard]] const flatbuffers::SymbolTable<flatbuffers::ServiceDef>&
  services() const noexcept {
    return m_parser.services_;
  }

  /**
   * \brief Reads the schema; called once, before any Check().
   * \param text FlatBuffers IDL.
   * \return Nothing, or kInvalidArgument with the line.
   */
  [[nodiscard]] Result<void> ReadSchema(const std::string& text);

  /**
   * \brief Checks a request.
   * \param method Declaration from this schema.
   * \param json Body of the request.
   * \return The canonical request, or kInvalidArgument.
   */
  [[nodiscard]] Result<CheckedRequest> Check(const Method& method,
                                             const std::string& json);

 private:
  [[nodiscard]] Result<std::string> Canonicalize(const Method& method,
                                                 const std::string& json);

  std::mutex m_mutex;
  flatbuffers::Parser m_parser;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_SCHEMA_REQUEST_PARSER_H_
