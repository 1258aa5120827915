// The headers of a request that tell a target which client account it is of.
#ifndef JACINTHDECK_STANDINS_TARGET_ACCOUNT_HEADERS_H_
#define JACINTHDECK_STANDINS_TARGET_ACCOUNT_HEADERS_H_

#include <string>

#include "http/http_message.h"

namespace jacinthdeck::standins {

/*! \brief What a request says about its client account. */
struct AccountHeaders {
  //! Value of the account header; empty if there is none.
  std::string account = {};
  //! Whether there is a key header, which targets must never get.
  bool has_key = false;
};

/*! \brief Reads the account header, and whether there is a key header. */
[[nodiscard]] AccountHeaders ReadAccountHeaders(const HttpRequest& request);

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_TARGET_ACCOUNT_HEADERS_H_
