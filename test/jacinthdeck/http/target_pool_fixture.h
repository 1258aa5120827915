// Fixture with a target pool, whose target is the test on a raw socket.
#ifndef JACINTHDECK_TEST_HTTP_TARGET_POOL_FIXTURE_H_
#define JACINTHDECK_TEST_HTTP_TARGET_POOL_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/http/loop_fixture.h"
#include "jacinthdeck/http/target_pool.h"
#include "support/printers.h"

namespace jacinthdeck {

struct TargetPoolFixture : EventLoopFixture, TargetPoolSink {
  tcp::acceptor acceptor{loop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  TargetPool pool{loop, clock, MakeProtocol(), FailureDomain("z"), *this};
  std::vector<AttemptEnd> ends;
  std::vector<TargetCheck> checks;
  std::uint64_t next_attempt_id = 1;

  [[nodiscard]] static TargetProtocol MakeProtocol() {
    TargetProtocol protocol;
    protocol.request_id = "Req";
    protocol.time_left_ms = "Left";
    protocol.expected_target = "Expect-Id";
    protocol.stamp = "Stamp";
    protocol.not_executed = "Not-Run";
    protocol.load = "Load";
    return protocol;
  }

  void OnAttemptEnd(AttemptEnd& end) override { ends.push_back(end); }
  void OnTargetChecked(const TargetId& target, TargetCheck result) override {
    BOOST_TEST(target == TargetId("t1"));
    checks.push_back(result);
  }

  TargetCheck WaitForCheck() {
    RunUntil([&] { return !checks.empty(); });
    const TargetCheck check = checks.front();
    checks.erase(checks.begin());
    return check;
  }

  OutgoingAttempt MakeAttempt(const std::string& request_id = "r1") {
    auto request = std::make_shared<OpaqueRequest>();
    request->method = "GET";
    request->target = "/p?q=1";
    request->host = "desk";
    request->request_id = request_id;
    OutgoingAttempt attempt;
    attempt.id = AttemptId(next_attempt_id++);
    attempt.target.id = TargetId("t1");
    attempt.target.address = "127.0.0.1";
    attempt.target.port = acceptor.local_endpoint().port();
    attempt.request = request;
    attempt.deadline = clock.Now() + std::chrono::seconds(1);
    attempt.connection_limit = 2;
    return attempt;
  }

  tcp::socket Accept() {
    tcp::socket socket(loop);
    bool accepted = false;
    acceptor.async_accept(socket,
                          [&](const SystemError& error) { accepted = !error; });
    RunUntil([&] { return accepted; });
    return socket;
  }

  void SendResponse(tcp::socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
  }

  AttemptEnd WaitForEnd() {
    RunUntil([&] { return !ends.empty(); });
    AttemptEnd end = ends.front();
    ends.erase(ends.begin());
    return end;
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_HTTP_TARGET_POOL_FIXTURE_H_
