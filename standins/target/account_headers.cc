// Looks the headers up by their names in lower case, as requests hold them.
#include "target/account_headers.h"

#include <boost/algorithm/string/case_conv.hpp>

#include "platform/wire_names.h"

namespace jacinthdeck::standins {

AccountHeaders ReadAccountHeaders(const HttpRequest& request) {
  static const std::string account_name =
      boost::to_lower_copy(std::string(platform::wire::kTenant));
  static const std::string key_name =
      boost::to_lower_copy(std::string(platform::wire::kKey));
  AccountHeaders read;
  if (const auto account = request.headers.find(account_name);
      account != request.headers.end()) {
    read.account = account->second;
  }
  read.has_key = request.headers.contains(key_name);
  return read;
}

}  // namespace jacinthdeck::standins
