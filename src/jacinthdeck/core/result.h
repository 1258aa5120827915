// Result type and helpers: a thin layer over Boost.LEAF with the project's
// Error.
#ifndef JACINTHDECK_CORE_RESULT_H_
#define JACINTHDECK_CORE_RESULT_H_

#include <boost/leaf.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "jacinthdeck/core/error.h"

namespace jacinthdeck {

/*! \brief A value, or a failure whose Error is delivered to the nearest LEAF
 * handler. */
template <typename T>
using Result = boost::leaf::result<T>;

/**
 * \brief Creates a failed result.
 * \param code Kind of the error.
 * \param subject Field, key or peer that the error concerns.
 * \param message What was found and what was expected.
 * \return Identifier that converts to any Result.
 */
[[nodiscard]] inline boost::leaf::error_id Fail(ErrorCode code,
                                                std::string subject,
                                                std::string message) {
  return boost::leaf::new_error(
      Error{code, std::move(subject), std::move(message)});
}

/**
 * \brief Creates a failed result from an error captured earlier.
 * \param error Error to forward.
 * \return Identifier that converts to any Result.
 */
[[nodiscard]] inline boost::leaf::error_id Fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

namespace internal {

/*! \brief Gives the value type of a Result. */
template <typename T>
struct ResultValue;

template <typename T>
struct ResultValue<Result<T>> {
  using type = T;
};

}  // namespace internal

/**
 * \brief Runs an operation and converts its result to a std::variant, which can
 * be stored or passed to another thread.
 * \param operation Callable without arguments that returns Result<T>; T is not
 * void.
 * \return The value, or the Error that the operation failed with.
 */
template <typename Operation>
[[nodiscard]] auto Capture(Operation&& operation) {
  using Value =
      typename internal::ResultValue<std::invoke_result_t<Operation>>::type;
  using Captured = std::variant<Value, Error>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Captured> {
        BOOST_LEAF_AUTO(value, std::forward<Operation>(operation)());
        return Captured(std::in_place_index<0>, std::move(value));
      },
      [](Error& error) {
        return Captured(std::in_place_index<1>, std::move(error));
      },
      [] {
        return Captured(std::in_place_index<1>,
                        Error{ErrorCode::kInternal, "",
                              "operation failed without an error value"});
      });
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_RESULT_H_
