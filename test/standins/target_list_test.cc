// Tests of the parser of the host list.
#include "target/target_list.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

namespace jacinthdeck {

struct HostListFixture {
  const std::string host =
      R"({"id":"a","service":"S","domain":"d","address":"127.0.0.1",)"
      R"("port":4000,"state":"live","slots":3,"connections":30,"open_us":6000})";

  //! Returns the JSON of the host with one part of its text replaced.
  [[nodiscard]] std::string With(const std::string& from,
                                 const std::string& to) const {
    std::string changed = host;
    return changed.replace(changed.find(from), from.size(), to);
  }

  [[nodiscard]] static std::variant<std::vector<TargetInfo>, Error> Read(
      const std::string& hosts) {
    return Capture([&] {
      return ReadHostList(R"({"hosts":[)" + hosts + "]}", "host list");
    });
  }
};

BOOST_FIXTURE_TEST_SUITE(ReadHostListTest, HostListFixture)

BOOST_AUTO_TEST_CASE(ReadHostList_OneHost_ReturnsItsTarget) {
  const auto read = Read(host);
  BOOST_REQUIRE(read.index() == 0U);
  const TargetInfo expected{
      .id = TargetId("a"),
      .service = ServiceId("S"),
      .domain = FailureDomain("d"),
      .address = "127.0.0.1",
      .port = 4000,
      .state = TargetState::kLive,
      .slots = 3,
      .connections = 30,
      .connection_open_time = std::chrono::milliseconds(6)};
  BOOST_TEST((std::get<0>(read).at(0) == expected));
}

BOOST_AUTO_TEST_CASE(ReadHostList_InvalidMember_FailsAndNamesIt) {
  for (const auto& [from, to, member] :
       std::initializer_list<std::array<std::string, 3>>{
           {R"("a")", R"("")", "id"},
           {R"("127.0.0.1")", R"("localhost")", "address"},
           {"4000", "0", "port"},
           {"4000", "65536", "port"},
           {"4000", R"("4000")", "port"},
           {"live", "alive", "state"},
           {R"("slots":3)", R"("slots":0)", "slots"},
           {R"("slots":3,)", "", "slots"},
           {"30", "-1", "connections"},
           {"6000", "1.5", "open_us"}}) {
    BOOST_TEST_CONTEXT(from << " -> " << to) {
      const auto read = Read(With(from, to));
      BOOST_REQUIRE(read.index() == 1U);
      BOOST_TEST((std::get<Error>(read).code == ErrorCode::kCorrupt));
      BOOST_TEST(std::get<Error>(read).subject ==
                 "host list.hosts[0]." + member);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReadHostList_DuplicateId_Fails) {
  BOOST_TEST(Read(host + "," + host).index() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
