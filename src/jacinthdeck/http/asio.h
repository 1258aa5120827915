// Aliases for the Boost.Asio types that the http module uses.
#ifndef JACINTHDECK_HTTP_ASIO_H_
#define JACINTHDECK_HTTP_ASIO_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

namespace jacinthdeck {

namespace asio = boost::asio;
using asio::ip::tcp;
using SystemError = boost::system::error_code;

}  // namespace jacinthdeck

#endif  // JACINTHDECK_HTTP_ASIO_H_
