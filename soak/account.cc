// Keys are made up from the account's name and a letter.
#include "soak/account.h"

#include <utility>

namespace jacinthdeck::soak {

namespace {

//! The callers of kBusyAccount send several times this rate.
constexpr double kBusyRate = 10;
constexpr double kBusyBurst = 10;
constexpr double kSmallRate = 1;
//! Number of callers of kSmallAccount, which may send at the same time.
constexpr double kSmallBurst = 2;

[[nodiscard]] Account MakeAccount(const char* name, double rate, double burst) {
  std::vector<std::string> keys = AllKeysOf(name);
  keys.pop_back();
  return {name, std::move(keys), rate, burst};
}

}  // namespace

std::vector<Account> InitialAccounts() {
  return {MakeAccount(kBusyAccount, kBusyRate, kBusyBurst),
          MakeAccount(kUnlimitedAccount, 0, 0),
          MakeAccount(kSmallAccount, kSmallRate, kSmallBurst)};
}

std::vector<std::string> AllKeysOf(const std::string& account) {
  return {"key-" + account + "-a", "key-" + account + "-b",
          "key-" + account + "-c"};
}

}  // namespace jacinthdeck::soak
