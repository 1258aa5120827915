// The headers by which the soak's callers name an account, and what decides
// which of them a call carries.
#ifndef SOAK_CREDENTIALS_H_
#define SOAK_CREDENTIALS_H_

#include <cstddef>
#include <string>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::soak {

/*! \brief Credentials of one call. */
struct Credentials {
  //! Value of the key header; empty if the call sends none.
  std::string key;
  //! Value of the account header, which only a dishonest caller sends; empty if
  //! the call sends none.
  std::string forged_account;

  [[nodiscard]] bool operator==(const Credentials&) const = default;
};

/*! \brief Whose key a caller sends. */
enum class CallerRole {
  kSmall,
  kBusy,
  kUnlimited,
  //! Sends no key or one that no configuration ever holds.
  kStranger,
};

/*! \brief Returns the role of a caller by its index. The first two are those of
 * kSmallAccount, whatever the number of callers. */
[[nodiscard]] CallerRole RoleOf(std::size_t caller);

/*! \brief Draws the credentials of a call. */
[[nodiscard]] Credentials DrawCredentials(CallerRole role, Random& random);

/*! \brief Draws the pause before a call of kSmallAccount, by which its callers
 * keep to its limit. */
[[nodiscard]] Duration DrawSmallPause(Random& random);

}  // namespace jacinthdeck::soak

#endif  // SOAK_CREDENTIALS_H_
