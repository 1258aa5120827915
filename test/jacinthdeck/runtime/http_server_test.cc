// Tests of the HTTP server's bounds over loopback, with a port picked by the
// kernel.
#include "jacinthdeck/runtime/http_server.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

namespace jacinthdeck {

struct HttpServerFixture {
  HttpServerFixture() : server(Started()) {}

  HttpServer Started() {
    HttpServerOptions options;
    options.body_bytes = 100;
    options.header_bytes = 4096;
    auto started = Capture([&] {
      return HttpServer::Start(Endpoint{"127.0.0.1", 0}, options,
                               [this](const HttpRequest& request) {
                                 ++handled;
                                 HttpReply reply;
                                 reply.body =
                                     std::string(request.method) + " " +
                                     std::string(request.path) + " " +
                                     std::string(request.header("x-probe")) +
                                     " " + request.body;
                                 return reply;
                               });
    });
    BOOST_REQUIRE(started.index() == 0);
    return std::move(std::get<0>(started));
  }

  //! Sends raw text and reads until the server closes.
  std::string Exchange(const std::string& text) const {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(
        {boost::asio::ip::make_address_v4("127.0.0.1"), server.port()}, error);
    boost::asio::write(socket, boost::asio::buffer(text), error);
    std::string reply;
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply), error);
    return reply;
  }

  std::string Post(const std::string& body) const {
    return Exchange(
        "POST /v1/a?b=c HTTP/1.1\r\nHost: x\r\nX-Probe: p\r\nConnection: "
        "close\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  std::atomic<int> handled = 0;
  HttpServer server;
};

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, HttpServerFixture)

BOOST_AUTO_TEST_CASE(Server_OrdinaryRequest_ReachesTheHandlerWhole) {
  BOOST_TEST(Post("hello").ends_with("POST /v1/a p hello"));
}

BOOST_AUTO_TEST_CASE(Server_BodyAtAndAboveTheLimit_TakesOneAndRefusesTheOther) {
  BOOST_TEST(Post(std::string(100, 'x')).starts_with("HTTP/1.1 200"));
  BOOST_TEST(Post(std::string(101, 'x')).starts_with("HTTP/1.1 413"));
  BOOST_TEST(Post(std::string(50000, 'x')).starts_with("HTTP/1.1 413"));
  BOOST_TEST(handled == 1);
}

// A caller sends headers without end. Its connection must be refused, and the
// handler must not run.
BOOST_AUTO_TEST_CASE(Server_OversizedHeaders_NeverReachTheHandler) {
  const std::string reply =
      Exchange("GET / HTTP/1.1\r\nHost: x\r\nX-Big: " + std::string(8000, 'x') +
               "\r\nConnection: close\r\n\r\n");
  BOOST_TEST(!reply.starts_with("HTTP/1.1 200"));
  BOOST_TEST(handled == 0);
}

BOOST_AUTO_TEST_CASE(Server_PortTaken_GivesATypedError) {
  const auto second = Capture([&] {
    return HttpServer::Start(Endpoint{"127.0.0.1", server.port()}, {},
                             [](const HttpRequest&) { return HttpReply(); });
  });
  BOOST_REQUIRE(second.index() == 1);
  BOOST_TEST((std::get<1>(second).code == ErrorCode::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
