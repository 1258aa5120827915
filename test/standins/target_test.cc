// Tests of the stand-in targets: their refusals, crashes and run log, which
// other tests rely on.
#include "target/target.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/http/blocking_client.h"

namespace jacinthdeck::standins {

struct TargetFixture {
  TargetFixture() {
    target.SetServedRanges({{IndexVersion(7), {KeyRange{0, kKeySpaceEnd / 2}}},
                            {IndexVersion(8), {}}});
    target.SetBehaviour(fast);
  }

  RunLog log;
  Target target{{.id = TargetId("a"),
                 .service = ServiceId("S"),
                 .domain = FailureDomain("d"),
                 .address = "127.0.0.1",
                 .port = 1,
                 .state = TargetState::kLive,
                 .slots = 1,
                 .connections = 4,
                 .connection_open_time = {}},
                0,
                std::make_shared<const Dataset>(ServiceId("S"), 1000, 1),
                log,
                1};
  Behaviour fast;

  //! Headers of queries besides those that every query has.
  std::vector<Header> headers;

  //! Sends a query and returns the HTTP status, or 0 if the connection ended
  //! without a reply.
  [[nodiscard]] long Query(const std::string& request, int version = 7) {
    return Ask(request, version).status;
  }

  [[nodiscard]] ClientReply Ask(const std::string& request, int version = 7) {
    ClientRequest call{"POST",
                       "/query",
                       R"({"method":"M","version":)" + std::to_string(version) +
                           R"(,"range":[0,1000],"request":)" + request + "}",
                       {{"X-Attempt", "1"}, {"X-Deadline-Ms", "5000"}}};
    call.headers.insert(call.headers.end(), headers.begin(), headers.end());
    return CallAndWait({"127.0.0.1", target.port()}, call,
                       std::chrono::seconds(5));
  }
};

BOOST_FIXTURE_TEST_SUITE(TargetTest, TargetFixture)

BOOST_AUTO_TEST_CASE(Query_ServedRange_IsAnsweredAndLogged) {
  BOOST_TEST(Query(R"({"text":"x"})") == 200);
  BOOST_REQUIRE(log.Find("M").size() == 1U);
  BOOST_TEST(log.Find("M")[0].runs.size() == 1U);
}

// Guards against a target whose connections cannot be kept, because a late copy
// of its reply cannot be told from the next one.
BOOST_AUTO_TEST_CASE(Query_HasRequestId_ReplyHasIt) {
  headers = {{"X-Jacinthdeck-Request-Id", "r-7"}};
  for (const int version : {7, 8}) {
    const ClientReply reply = Ask(R"({"text":"x"})", version);
    const std::string* id = reply.FindHeader("X-Jacinthdeck-Request-Id");
    BOOST_REQUIRE(id != nullptr);
    BOOST_TEST(*id == "r-7");
  }
}

// Guards against a log that misses the headers by which tests prove which
// account a request runs for, and that no target gets a key.
BOOST_AUTO_TEST_CASE(Query_HasAccountAndKeyHeaders_AreLogged) {
  BOOST_TEST(Query(R"({"text":"x"})") == 200);
  headers = {{"X-Jacinthdeck-Tenant", "busy"}, {"X-Jacinthdeck-Key", "k"}};
  BOOST_TEST(Query(R"({"text":"x"})") == 200);
  BOOST_REQUIRE(log.Find("M").size() == 1U);
  const std::vector<Run> runs = log.Find("M")[0].runs;
  BOOST_REQUIRE(runs.size() == 2U);
  BOOST_TEST(runs[0].headers.account.empty());
  BOOST_TEST(!runs[0].headers.has_key);
  BOOST_TEST(runs[1].headers.account == "busy");
  BOOST_TEST(runs[1].headers.has_key);
  BOOST_TEST((runs[0].at < runs[1].at));
}

BOOST_AUTO_TEST_CASE(Query_RangeOrVersionNotServed_IsRefusedAndNotRun) {
  BOOST_TEST(Query("{}", 8) == 409);
  BOOST_TEST(Query("{}", 6) == 410);
  BOOST_TEST(log.total() == 0U);
}

BOOST_AUTO_TEST_CASE(Query_DrainingOrCold_IsShedAndNotRun) {
  Behaviour draining = fast;
  draining.draining = true;
  target.SetBehaviour(draining);
  BOOST_TEST(Query("{}") == 503);
  Behaviour cold = fast;
  cold.cold_for = std::chrono::hours(1);
  target.SetBehaviour(cold);
  BOOST_TEST(Query("{}") == 503);
  BOOST_TEST(log.total() == 0U);
}

// The request runs once, the target crashes and accepts nothing until it has
// restarted. The caller sees a connection that ends without a reply.
BOOST_AUTO_TEST_CASE(Query_CrashingRequest_RunsOnceAndCrashesTarget) {
  Behaviour crashing = fast;
  crashing.crash_on = "poison";
  crashing.restart_time = std::chrono::hours(1);
  target.SetBehaviour(crashing);
  BOOST_TEST(Query(R"({"text":"poison"})") == 0);
  BOOST_TEST(Query(R"({"text":"innocent"})") == 0);
  BOOST_TEST(log.total() == 1U);
  BOOST_TEST(target.counts().crashes == 1U);
}

BOOST_AUTO_TEST_CASE(Query_MalformedBody_IsRefusedAndNotRun) {
  BOOST_TEST(Query("7") == 400);
  BOOST_TEST(log.total() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::standins
