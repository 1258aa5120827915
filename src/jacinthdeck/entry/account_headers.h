// The headers by which callers send their key and targets learn the account.
#ifndef JACINTHDECK_ENTRY_ACCOUNT_HEADERS_H_
#define JACINTHDECK_ENTRY_ACCOUNT_HEADERS_H_

#include <optional>
#include <span>
#include <string_view>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/forward/opaque_request.h"
#include "jacinthdeck/http/target_protocol.h"
#include "jacinthdeck/tenancy/tenant_table.h"

namespace jacinthdeck {

/*! \brief Number of key headers of a request. */
enum class KeyCount { kNone, kOne, kSeveral };

/*! \brief Key of a request. */
struct CallerKey {
  KeyCount count = KeyCount::kNone;
  //! Value of the only key header; empty unless there is exactly one. Valid as
  //! long as the headers.
  std::string_view key;
};

/*! \brief Reads the key of a request. */
[[nodiscard]] CallerKey KeyOf(std::span<const Header> headers,
                              const TargetProtocol& protocol);

/*! \brief Returns the account whose key a request has; null without a key
 * header, with several, and with an unknown key. */
[[nodiscard]] const Tenant* AccountOf(std::span<const Header> headers,
                                      const TargetProtocol& protocol,
                                      const TenantTable& tenants);

/**
 * \brief Returns the account of a typed request.
 * \param tenants Accounts in force; null if no configuration is known.
 * \return The account; empty if keys are not checked, kUnauthorized without a
 * valid key.
 */
[[nodiscard]] Result<std::optional<TenantId>> TypedAccountOf(
    std::span<const Header> headers,
    const TargetProtocol& protocol,
    const TenantTable* tenants);

/*! \brief Removes every key header and every header that names an account, so
 * that no target gets a key or a caller's claim of an account. */
void RemoveAccountHeaders(OpaqueRequest& request,
                          const TargetProtocol& protocol);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_ACCOUNT_HEADERS_H_
