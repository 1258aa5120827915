// Body of a request that is being received.
#ifndef JACINTHDECK_HTTP_REQUEST_BODY_H_
#define JACINTHDECK_HTTP_REQUEST_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "jacinthdeck/http/asio.h"

namespace jacinthdeck::internal {

/*! \brief Like Beast's string body, but takes memory only for what has arrived,
 * and not for the length that the sender has announced. */
struct RequestBody {
  using value_type = std::string;

  // NOLINTNEXTLINE(readability-identifier-naming): Beast asks for this name.
  class reader {
   public:
    template <bool IsRequest, typename Fields>
    explicit reader(boost::beast::http::header<IsRequest, Fields>& /*header*/,
                    value_type& body)
        : m_body(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/,
              SystemError& error) {
      error = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, SystemError& error) {
      error = {};
      std::size_t count = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
        count += buffer.size();
      }
      return count;
    }

    void finish(SystemError& error) { error = {}; }

   private:
    value_type& m_body;
  };
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_HTTP_REQUEST_BODY_H_
