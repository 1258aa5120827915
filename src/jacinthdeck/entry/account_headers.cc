// Finds and removes the headers of keys and accounts.
#include "jacinthdeck/entry/account_headers.h"

#include <vector>

#include "jacinthdeck/http/hop_headers.h"

namespace jacinthdeck {

CallerKey KeyOf(std::span<const Header> headers,
                const TargetProtocol& protocol) {
  CallerKey found;
  for (const Header& header : headers) {
    if (!HeaderNamesEqual(header.name, protocol.key)) {
      continue;
    }
    if (found.count == KeyCount::kOne) {
      return {KeyCount::kSeveral, {}};
    }
    found = {KeyCount::kOne, header.value};
  }
  return found;
}

const Tenant* AccountOf(std::span<const Header> headers,
                        const TargetProtocol& protocol,
                        const TenantTable& tenants) {
  const CallerKey found = KeyOf(headers, protocol);
  return found.count == KeyCount::kOne ? tenants.FindByKey(found.key) : nullptr;
}

Result<std::optional<TenantId>> TypedAccountOf(std::span<const Header> headers,
                                               const TargetProtocol& protocol,
                                               const TenantTable* tenants) {
  if (tenants == nullptr || tenants->empty()) {
    return std::optional<TenantId>();
  }
  const Tenant* account = AccountOf(headers, protocol, *tenants);
  if (account == nullptr) {
    return Fail(ErrorCode::kUnauthorized, protocol.key,
                "is missing, repeated or unknown");
  }
  return std::optional<TenantId>(account->name);
}

void RemoveAccountHeaders(OpaqueRequest& request,
                          const TargetProtocol& protocol) {
  std::erase_if(request.headers, [&](const Header& header) {
    return HeaderNamesEqual(header.name, protocol.key) ||
           HeaderNamesEqual(header.name, protocol.tenant);
  });
}

}  // namespace jacinthdeck
