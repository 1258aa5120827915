// Tests of the lag of the stand-in host list.
#include "hostlist/host_list_server.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/platform/http_host_list_client.h"

namespace jacinthdeck::standins {

struct HostListServerFixture {
  ManualClock clock;
  HostListServer server{0, clock, std::chrono::seconds(10)};

  [[nodiscard]] static std::string List(const std::string& state) {
    return R"({"hosts":[{"id":"a","service":"S","domain":"d",)"
           R"("address":"127.0.0.1","port":4000,"state":")" +
           state + R"(","slots":3,"connections":30,"open_us":6000}]})";
  }

  void Publish(const std::string& state) {
    const auto done = Capture([&] { return server.Publish(List(state)); });
    BOOST_REQUIRE(done.index() == 0U);
  }

  [[nodiscard]] TargetState Shown() {
    HttpHostListClient client({"127.0.0.1", server.port()},
                              std::chrono::seconds(5));
    const auto list = Capture([&] { return client.Fetch(); });
    BOOST_REQUIRE(list.index() == 0U);
    return std::get<0>(list).at(0).state;
  }
};

BOOST_FIXTURE_TEST_SUITE(HostListServerTest, HostListServerFixture)

BOOST_AUTO_TEST_CASE(Hosts_ChangeYoungerThanTheLag_IsNotShown) {
  Publish("live");
  Publish("leaving");
  clock.Advance(std::chrono::seconds(9));
  BOOST_TEST((Shown() == TargetState::kLive));
  clock.Advance(std::chrono::seconds(2));
  BOOST_TEST((Shown() == TargetState::kLeaving));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::standins
