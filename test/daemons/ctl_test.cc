// Tests of jacinthdeckctl against a scripted daemon.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/command.h"
#include "http/http_server.h"
#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck::ctl {

struct CtlFixture {
  ManualClock clock;
  std::ostringstream out;
  std::ostringstream err;
  std::mutex mutex;
  //! Replies to POST in order; the last one is given again.
  std::deque<standins::HttpReply> replies;
  std::vector<standins::HttpRequest> posts;
  standins::HttpServer daemon{{}, [this](const standins::HttpRequest& request) {
                                return Handle(request);
                              }};

  [[nodiscard]] standins::HttpReply Handle(
      const standins::HttpRequest& request) {
    const std::scoped_lock lock(mutex);
    if (request.verb == "GET") {
      return {200,
              R"({"revision":12,"schema":"s","settings":{"a":"1","b":"2"}})",
              false};
    }
    posts.push_back(request);
    standins::HttpReply reply = replies.front();
    if (replies.size() > 1) {
      replies.pop_front();
    }
    return reply;
  }

  void Script(std::deque<standins::HttpReply> script) {
    const std::scoped_lock lock(mutex);
    replies = std::move(script);
  }

  [[nodiscard]] std::string Posted(std::size_t index) {
    const std::scoped_lock lock(mutex);
    return posts.at(index).body;
  }

  [[nodiscard]] ExitCode Run(const std::vector<std::string>& words) {
    const std::string address = "127.0.0.1:" + std::to_string(daemon.port());
    std::vector<const char*> argv{"jacinthdeckctl", "--operators",
                                  address.c_str(), "--callers",
                                  address.c_str()};
    for (const std::string& word : words) {
      argv.push_back(word.c_str());
    }
    const auto arguments = Capture([&] {
      return ReadArguments(static_cast<int>(argv.size()), argv.data());
    });
    BOOST_REQUIRE(arguments.index() == 0U);
    Session session(
        std::get<0>(arguments), clock,
        [this](Duration time) { clock.Advance(time); }, out, err);
    const Command* command = FindCommand(session.arguments().words);
    if (command == nullptr) {
      return ExitCode::kUsage;
    }
    return command->run(session, session.Operands(command->words()));
  }
};

BOOST_FIXTURE_TEST_SUITE(CtlTest, CtlFixture)

BOOST_AUTO_TEST_CASE(
    ConfigSet_Accepted_SendsTheWholeContentOnThePresentRevision) {
  Script({{200, R"({"state":"accepted","revision":13})", false}});
  BOOST_TEST((Run({"config", "set", "a=7", "b="}) == ExitCode::kDone));
  const std::string sent = Posted(0);
  BOOST_TEST(sent.find(R"("expected":12)") != sent.npos);
  BOOST_TEST(sent.find(R"("schema":"s","settings":{"a":"7"})") != sent.npos);
}

// The operator sees "accepted". The first reply is lost and the second says
// unknown; each time the same operation is sent, which the daemon knows by its
// id. A new id would apply the change twice or conflict with itself.
BOOST_AUTO_TEST_CASE(ConfigSet_ReplyLostThenUnknown_SendsTheSameOperation) {
  Script({standins::DropConnection(),
          {503, R"({"state":"unknown"})", false},
          {202, R"({"state":"pending"})", false},
          {200, R"({"state":"accepted","revision":13})", false}});
  BOOST_TEST((Run({"config", "set", "a=7"}) == ExitCode::kDone));
  BOOST_REQUIRE(posts.size() == 4U);
  BOOST_TEST(Posted(0).find(R"("operation":"ctl-)") != std::string::npos);
  BOOST_TEST(Posted(0) == Posted(3));
}

BOOST_AUTO_TEST_CASE(
    ConfigSet_StillOpenAfterTheWait_IsUnknownAndNamesTheOperation) {
  Script({{202, R"({"state":"pending"})", false}});
  BOOST_TEST((Run({"config", "set", "a=7", "--operation", "op-1", "--wait-ms",
                   "600"}) == ExitCode::kUnknown));
  BOOST_TEST(err.str().find("--operation op-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ConfigSet_Conflict_IsRefused) {
  Script({{409, R"({"state":"conflict","revision":14})", false}});
  BOOST_TEST((Run({"config", "set", "a=7"}) == ExitCode::kRefused));
  BOOST_TEST(err.str().find("revision 14") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Rollback_Revision_SendsItAlone) {
  Script({{200, R"({"state":"accepted","revision":13})", false}});
  BOOST_TEST((Run({"config", "rollback", "9"}) == ExitCode::kDone));
  BOOST_TEST(Posted(0).find(R"("rollback_to":9)") != std::string::npos);
  BOOST_TEST(Posted(0).find("schema") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(Query_EachOutcome_HasItsExitCode) {
  const auto run = [&](const std::string& outcome) {
    Script({{200, R"({"outcome":")" + outcome + R"(","hits":[]})", false}});
    return Run({"query", "S/M", "{}", "--tenant", "t"});
  };
  BOOST_TEST((run("whole") == ExitCode::kDone));
  BOOST_TEST((run("partial") == ExitCode::kPartial));
  BOOST_TEST((run("not_run") == ExitCode::kRefused));
  BOOST_TEST((run("unknown") == ExitCode::kUnknown));
  BOOST_TEST(posts[0].headers.at("x-tenant") == "t");
}

// The operator sees "may or may not have run". The connection ends without a
// reply, which looks the same whether the request ran or not.
BOOST_AUTO_TEST_CASE(Query_NoReply_IsUnknown) {
  Script({standins::DropConnection()});
  BOOST_TEST((Run({"query", "S/M", "{}"}) == ExitCode::kUnknown));
  BOOST_TEST(posts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Command_WrongWordsOrOperands_IsUsage) {
  BOOST_TEST((Run({"schema"}) == ExitCode::kUsage));
  BOOST_TEST((Run({"status", "x"}) == ExitCode::kUsage));
  BOOST_TEST((Run({"config", "set", "=x"}) == ExitCode::kUsage));
  BOOST_TEST((Run({"query", "S", "{}"}) == ExitCode::kUsage));
  BOOST_TEST((Run({"config", "rollback", "0"}) == ExitCode::kUsage));
}

BOOST_AUTO_TEST_CASE(SchemaCheck_MissingFile_IsUsage) {
  BOOST_TEST((Run({"schema", "check", "/no/such/file"}) == ExitCode::kUsage));
}

BOOST_AUTO_TEST_CASE(ConfigGet_OneKey_PrintsItsValue) {
  BOOST_TEST((Run({"config", "get", "a"}) == ExitCode::kDone));
  BOOST_TEST(out.str() == "1\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::ctl
