// Calls from other threads into the decision thread that wait for its reply.
#ifndef JACINTHDECK_RUNTIME_DECISION_CLIENT_H_
#define JACINTHDECK_RUNTIME_DECISION_CLIENT_H_

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

#include "jacinthdeck/runtime/decision_loop.h"

namespace jacinthdeck {

/**
 * \brief Runs a function on the decision thread and waits for its value.
 * \param loop Decision loop.
 * \param wait Longest wait.
 * \param function Called with the core and the time; its result must be a
 * value. \return The value, or nothing if the ring was full or the wait ended
 * first.
 */
template <typename Function>
[[nodiscard]] auto Ask(DecisionLoop& loop,
                       std::chrono::milliseconds wait,
                       Function function)
    -> std::optional<std::invoke_result_t<Function, DecisionCore&, TimePoint>> {
  using Value = std::invoke_result_t<Function, DecisionCore&, TimePoint>;
  // Shared, since the thread may come to it after the wait has ended here.
  auto promise = std::make_shared<std::promise<Value>>();
  std::future<Value> future = promise->get_future();
  DecisionEvent event =
      DecisionTask{[promise, function = std::move(function)](
                       DecisionCore& core, TimePoint now) mutable {
        promise->set_value(function(core, now));
      }};
  if (!loop.TryPush(event) ||
      future.wait_for(wait) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_DECISION_CLIENT_H_
