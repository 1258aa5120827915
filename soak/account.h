// A client account of the soak's configuration, and the accounts that a run
// begins with.
#ifndef SOAK_ACCOUNT_H_
#define SOAK_ACCOUNT_H_

#include <string>
#include <vector>

namespace jacinthdeck::soak {

/*! \brief A client account as the configuration names it. */
struct Account {
  std::string name;
  std::vector<std::string> keys;
  //! Requests per second; 0 for no limit.
  double rate = 0;
  //! Requests at once.
  double burst = 0;

  [[nodiscard]] bool operator==(const Account&) const = default;
};

//! Account whose callers exceed its limit by far.
inline constexpr const char* kBusyAccount = "busy";
//! Account of about one request per second, whose callers keep to its limit.
inline constexpr const char* kSmallAccount = "small";
//! Account without a limit.
inline constexpr const char* kUnlimitedAccount = "unlimited";

/*! \brief Returns the accounts that a run begins with, with two keys each. */
[[nodiscard]] std::vector<Account> InitialAccounts();

/*! \brief Returns all keys that an account may ever have: its first two, and
 * the one that is added in the course of a run. */
[[nodiscard]] std::vector<std::string> AllKeysOf(const std::string& account);

}  // namespace jacinthdeck::soak

#endif  // SOAK_ACCOUNT_H_
