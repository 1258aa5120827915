// Handler that answers each request synchronously with a function.
#ifndef JACINTHDECK_ENTRY_SIMPLE_HANDLER_H_
#define JACINTHDECK_ENTRY_SIMPLE_HANDLER_H_

#include <functional>
#include <memory>
#include <utility>

#include "jacinthdeck/http/edge_connection.h"
#include "jacinthdeck/http/edge_handler.h"

namespace jacinthdeck {

/*! \brief Handles requests for readiness, the directory and metrics. */
class SimpleHandler final : public EdgeHandler {
 public:
  //! Returns the answer to a request.
  using AnswerFunction = std::function<EdgeResponse(const EdgeRequest&)>;

  explicit SimpleHandler(AnswerFunction answer) : m_answer(std::move(answer)) {}

  void OnRequest(const std::shared_ptr<EdgeConnection>& connection,
                 EdgeRequest request,
                 TimePoint /*arrived*/) override {
    connection->Respond(m_answer(request));
  }

  void OnDisconnect(EdgeConnection& /*connection*/) override {}

 private:
  AnswerFunction m_answer;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_SIMPLE_HANDLER_H_
