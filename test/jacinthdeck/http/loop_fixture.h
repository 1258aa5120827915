// Fixture with an event loop that the test runs step by step, and helpers for
// raw sockets.
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

/*! \brief What a faulty peer sends: a beginning, and then one piece again and
 * again. */
struct EndlessBytes {
  std::string name;
  std::string begin;
  std::string repeated;
};

/*! \brief Event loop that only the test runs, and a manual clock that only the
 * test advances; the timeouts under test follow this clock. */
struct EventLoopFixture {
  //! Real time after which a hanging test fails; passing tests never reach it.
  static constexpr std::chrono::seconds kTestTimeout{20};

  asio::io_context loop;
  ManualClock clock;

  //! Runs the loop until a condition holds; fails the test after kTestTimeout.
  void RunUntil(const std::function<bool()>& is_done) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!is_done()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(5));
    }
  }

  //! Reads the available bytes without waiting; `ended` is set if the peer has
  //! closed or reset the connection.
  static std::string ReadSome(tcp::socket& socket, bool& ended) {
    std::array<char, 4096> bytes{};
    SystemError error;
    socket.non_blocking(true);
    const std::size_t count = socket.read_some(asio::buffer(bytes), error);
    ended = error && error != asio::error::would_block;
    return {bytes.data(), count};
  }

  //! Runs the loop until the received bytes contain a text or the peer closes;
  //! returns all bytes received.
  std::string ReadUntil(tcp::socket& socket, const std::string& text) {
    std::string received;
    bool ended = false;
    RunUntil([&] {
      received += ReadSome(socket, ended);
      return ended || received.find(text) != std::string::npos;
    });
    return received;
  }

  //! Writes bytes without end until the peer closes the connection; returns how
  //! many the kernel took.
  std::size_t SendWithoutEnd(tcp::socket& socket, const EndlessBytes& bytes) {
    std::size_t sent = bytes.begin.size();
    asio::write(socket, asio::buffer(bytes.begin));
    socket.non_blocking(true);
    std::size_t offset = 0;
    RunUntil([&] {
      SystemError error;
      const std::size_t written =
          socket.write_some(asio::buffer(bytes.repeated) + offset, error);
      sent += written;
      offset = (offset + written) % bytes.repeated.size();
      return error && error != asio::error::would_block;
    });
    return sent;
  }

  //! Runs the loop until the peer closes the connection; fails the test if it
  //! does not.
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
