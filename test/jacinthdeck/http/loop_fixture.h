// An event loop that the test steps, and raw sockets at its ends.
#ifndef JACINTHDECK_TEST_HTTP_LOOP_FIXTURE_H_
#define JACINTHDECK_TEST_HTTP_LOOP_FIXTURE_H_

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/http/asio.h"

namespace jacinthdeck {

/*! \brief Steps the loop until something is so; the paused clock rules all
 * timeouts under test. */
struct EventLoopFixture {
  //! Bound on a test that hangs; never reached by one that passes.
  static constexpr std::chrono::seconds kTestTimeout{20};

  asio::io_context loop;
  ManualClock clock;

  void RunUntil(const std::function<bool()>& is_done) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!is_done()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(5));
    }
  }

  //! Reads what is there, without waiting.
  static std::string ReadSome(tcp::socket& socket, bool& ended) {
    std::array<char, 4096> bytes{};
    SystemError error;
    socket.non_blocking(true);
    const std::size_t count = socket.read_some(asio::buffer(bytes), error);
    ended = error && error != asio::error::would_block;
    return {bytes.data(), count};
  }

  //! Steps the loop until the peer has sent a text or closed.
  std::string ReadUntil(tcp::socket& socket, const std::string& text) {
    std::string received;
    bool ended = false;
    RunUntil([&] {
      received += ReadSome(socket, ended);
      return ended || received.find(text) != std::string::npos;
    });
    return received;
  }

  bool IsClosed(tcp::socket& socket) {
    bool ended = false;
    RunUntil([&] {
      (void)ReadSome(socket, ended);
      return ended;
    });
    return ended;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_HTTP_LOOP_FIXTURE_H_
