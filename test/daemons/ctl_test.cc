// Tests the commands of jacinthdeckctl with a stand-in store and log files.
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/command.h"
#include "http/http_server.h"
#include "jacinthdeck/core/boottime_clock.h"
#include "platform/store_codec.h"
#include "store/store_server.h"

namespace jacinthdeck::ctl {

struct CtlFixture {
  BoottimeClock clock;
  standins::StoreServer store{0, clock, {}, 1};
  platform::StoreCodec codec;
  std::ostringstream out;
  std::ostringstream err;
  std::vector<std::string> files;

  ~CtlFixture() {
    for (const std::string& file : files) {
      (void)std::remove(file.c_str());
    }
  }

  [[nodiscard]] std::string MakeFile(const std::string& text) {
    std::string name = "ctl_test_" +
                       std::to_string(reinterpret_cast<std::uintptr_t>(this)) +
                       "_" + std::to_string(files.size());
    std::ofstream(name) << text;
    files.push_back(name);
    return name;
  }

  [[nodiscard]] ExitCode Run(const std::vector<std::string>& words) {
    const std::string address = Endpoint{"127.0.0.1", store.port()}.ToString();
    std::vector<const char*> argv{"jacinthdeckctl", "--store", address.c_str()};
    for (const std::string& word : words) {
      argv.push_back(word.c_str());
    }
    const auto arguments = Capture([&] {
      return ReadArguments(static_cast<int>(argv.size()), argv.data());
    });
    BOOST_REQUIRE(arguments.index() == 0U);
    Session session(std::get<0>(arguments), codec, out, err);
    const Command* command = FindCommand(session.arguments().words);
    if (command == nullptr) {
      return ExitCode::kUsage;
    }
    return command->run(session, session.Operands(command->words()));
  }

  //! Returns the lines of the output with one space between words.
  [[nodiscard]] std::vector<std::string> Rows() const {
    std::istringstream lines(out.str());
    std::vector<std::string> rows;
    std::string line;
    while (std::getline(lines, line)) {
      std::istringstream words(line);
      std::string row;
      for (std::string word; words >> word;) {
        row += (row.empty() ? "" : " ") + word;
      }
      rows.push_back(row);
    }
    return rows;
  }

  [[nodiscard]] std::string StoredValue(const std::string& key) {
    const auto item = store.content().Get(key);
    return item ? item->value.value_or("") : "";
  }
};

BOOST_FIXTURE_TEST_SUITE(CtlTest, CtlFixture)

BOOST_AUTO_TEST_CASE(SchemaApply_InvalidFile_IsRefusedAndNothingIsWritten) {
  const std::string file = MakeFile("table X {");
  BOOST_TEST((Run({"schema", "apply", file}) == ExitCode::kRefused));
  BOOST_TEST(store.counts().writes == 0U);
}

BOOST_AUTO_TEST_CASE(IndexApply_GapInTheKeySpace_IsRefused) {
  const std::string file =
      MakeFile(R"({"Desk":{"versions":[{"version":1,"shards":[)"
               R"({"id":0,"range":[0,10],"replicas":["a"]}]}]}})");
  BOOST_TEST((Run({"index", "apply", file}) == ExitCode::kRefused));
}

BOOST_AUTO_TEST_CASE(IndexApply_WholeKeySpace_IsWrittenForEachService) {
  const std::string file =
      MakeFile(R"({"Desk":{"versions":[{"version":1,"shards":[)"
               R"({"id":0,"range":[0,4294967296],"replicas":["a"]}]}]}})");
  BOOST_TEST((Run({"index", "apply", file}) == ExitCode::kDone), err.str());
  BOOST_TEST(StoredValue(codec.IndexKey("Desk")).find("4294967296") !=
             std::string::npos);
}

// The store applies the write, but its reply is lost. The command must not
// report a failure: the operator would repeat the write and overwrite a change
// that somebody else made in between.
BOOST_AUTO_TEST_CASE(IndexApply_ReplyIsLost_ReadsAgainAndReportsWritten) {
  standins::StoreControl control;
  control.faults.lose_reply_share = 1;
  store.Apply(control);
  const std::string file =
      MakeFile(R"({"Desk":{"versions":[{"version":1,"shards":[)"
               R"({"id":0,"range":[0,4294967296],"replicas":["a"]}]}]}})");
  BOOST_TEST((Run({"index", "apply", file}) == ExitCode::kDone), err.str());
}

// Guards against keys on the terminal of whoever checks a configuration.
BOOST_AUTO_TEST_CASE(AccountsCheck_ValidFile_PrintsAccountsWithoutKeys) {
  const std::string file = MakeFile(
      R"({"version":4,"services":[],"routes":[],"tenants":[{"name":"shop",)"
      R"("apiKeys":["SECRET-1","SECRET-2"],"ratePerS":5,"burst":2}]})");
  BOOST_TEST((Run({"accounts", "check", file}) == ExitCode::kDone), err.str());
  BOOST_TEST(out.str().find("shop") != std::string::npos);
  BOOST_TEST(out.str().find("keys 2") != std::string::npos, out.str());
  BOOST_TEST(out.str().find("SECRET") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(AccountsCheck_InvalidFile_IsRefusedAndEachErrorPrinted) {
  const std::string file =
      MakeFile(R"({"version":4,"services":[],"routes":[],"tenants":[)"
               R"({"name":"","apiKeys":["SECRET"]},{"name":"a"}]})");
  BOOST_TEST((Run({"accounts", "check", file}) == ExitCode::kRefused));
  BOOST_TEST(err.str().find("config.tenants[0].name: is empty") !=
             std::string::npos);
  BOOST_TEST(err.str().find("config.tenants[1].apiKeys: ") !=
             std::string::npos);
  BOOST_TEST(err.str().find("SECRET") == std::string::npos);
  BOOST_TEST(out.str().empty());
  BOOST_TEST((Run({"accounts", "check", "absent"}) == ExitCode::kUsage));
}

BOOST_AUTO_TEST_CASE(Accounts_TwoHosts_UsageIsSummedAndKeysAreNotPrinted) {
  standins::StoreControl control;
  control.puts.push_back(
      {"op/config",
       R"({"version":4,"services":[],"routes":[],"tenants":[{"name":"shop",)"
       R"("apiKeys":["SECRET"],"ratePerS":5,"burst":2}]})",
       {}});
  store.Apply(control);
  standins::HttpServer host{
      {}, [](const standins::HttpRequest&) {
        return standins::HttpReply{
            200,
            R"({"accounts":{"unauthorized":3,"in_use":[{"account":"shop",)"
            R"("admitted":10,"limited":4,"unknown":0,"stale_keys":0,)"
            R"("refunded":1,"allocator":"h7"}]}})",
            false};
      }};
  const std::string up = Endpoint{"127.0.0.1", host.port()}.ToString();
  BOOST_TEST((Run({"accounts", "list", up, up}) == ExitCode::kDone), err.str());
  BOOST_TEST(out.str().find("20") != std::string::npos, out.str());
  BOOST_TEST((Run({"accounts", "show", "shop", up, "127.0.0.1:1"}) ==
              ExitCode::kPartial));
  BOOST_TEST(out.str().find("h7") != std::string::npos, out.str());
  BOOST_TEST((Run({"accounts", "show", "none"}) == ExitCode::kRefused));
  BOOST_TEST((out.str() + err.str()).find("SECRET") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(Hosts_StoreIsUnavailable_IsUnreachable) {
  standins::StoreControl control;
  control.faults.outage = standins::Outage::kBusy;
  store.Apply(control);
  BOOST_TEST((Run({"hosts"}) == ExitCode::kUnreachable));
}

// Guards against an evacuation that looks complete while a host still sends to
// the failure domain, so that an operator shuts the domain down too early.
BOOST_AUTO_TEST_CASE(Evacuations_OneHostLacksOneAndOneIsDown_BothAreNamed) {
  standins::StoreControl control;
  control.puts.push_back({"op/evacuate/z1", "{}", {}});
  control.puts.push_back({"op/evacuate/z2", "{}", {}});
  store.Apply(control);
  standins::HttpServer host{
      {}, [](const standins::HttpRequest&) {
        return standins::HttpReply{
            200, R"({"evacuated":[{"failure_domain":"z1"}]})", false};
      }};
  const std::string up = Endpoint{"127.0.0.1", host.port()}.ToString();
  BOOST_TEST((Run({"evacuations"}) == ExitCode::kDone));
  BOOST_TEST((Run({"evacuations", up, "127.0.0.1:1"}) == ExitCode::kPartial));
  const std::string printed = out.str();
  const std::size_t not_applied = printed.rfind("not_applied");
  BOOST_TEST(printed.find(up, not_applied) != printed.npos);
  BOOST_TEST(printed.find("z2", not_applied) != printed.npos);
  BOOST_TEST(printed.find("z1", not_applied) == printed.npos);
  BOOST_TEST(printed.find("127.0.0.1:1", not_applied) != printed.npos);
}

// Guards against a restore of the store that looks complete while a host still
// serves with data from before it, so that an operator ends a restore drill too
// early.
BOOST_AUTO_TEST_CASE(Era_OneHostIsBehindAndOneIsDown_BothAreNamed) {
  store.content().TakeSnapshot();
  BOOST_TEST(store.content().Restore());
  const auto answer = [](const std::string& era) {
    return [era](const standins::HttpRequest&) {
      return standins::HttpReply{
          200,
          R"({"store_era":)" + era +
              R"(,"store_revision":5,"config_version":7,)"
              R"("store_era_for_ms":12.5})",
          false};
    };
  };
  standins::HttpServer current{{}, answer("2")};
  standins::HttpServer behind{{}, answer("1")};
  const std::string up = Endpoint{"127.0.0.1", current.port()}.ToString();
  const std::string old = Endpoint{"127.0.0.1", behind.port()}.ToString();
  BOOST_TEST((Run({"era", up}) == ExitCode::kDone), err.str());
  BOOST_TEST((Run({"era", up, old, "127.0.0.1:1"}) == ExitCode::kPartial));
  const std::string printed = out.str();
  const std::size_t not_current = printed.rfind("not_current");
  BOOST_TEST(printed.find(old, not_current) != printed.npos);
  BOOST_TEST(printed.find("127.0.0.1:1", not_current) != printed.npos);
  BOOST_TEST(printed.find(up, not_current) == printed.npos);
}

// Guards against one invalid key that hides the evacuations in effect.
BOOST_AUTO_TEST_CASE(Evacuations_KeyNamesNoDomain_OthersAreStillPrinted) {
  standins::StoreControl control;
  control.puts.push_back({"op/evacuate/", "{}", {}});
  control.puts.push_back({"op/evacuate/z1", "{}", {}});
  store.Apply(control);
  BOOST_TEST((Run({"evacuations"}) == ExitCode::kDone), err.str());
  BOOST_TEST(out.str().find("z1") != std::string::npos);
  BOOST_TEST(out.str().find("names no failure domain") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Explain_LogsOfTwoHosts_PrintsLinesOfRequestByTime) {
  const std::string first = MakeFile(
      "cut line {\"event\":\n"
      R"({"unix_ms":1,"host":"a","event":"config_applied","config_version":7})"
      "\n"
      R"({"unix_ms":2,"host":"b","event":"store_lost","problem":"elsewhere"})"
      "\n"
      R"({"unix_ms":5,"host":"a","event":"call_failed","request":"r1","attempts":[{"target":"t1"}]})"
      "\n");
  const std::string second = MakeFile(
      R"(host b {"unix_ms":3,"event":"call_refused","request":"r1","reason":"overload"})"
      "\n"
      R"({"unix_ms":4,"event":"call_done","request":"r2"})"
      "\n");
  BOOST_TEST((Run({"explain", "r1", first, second}) == ExitCode::kDone));
  const std::string printed = out.str();
  BOOST_TEST(printed.starts_with("1 of 6 lines could not be read"));
  BOOST_TEST(printed.find("config_version 7") != printed.npos);
  BOOST_TEST(printed.find("call_refused") < printed.find("call_failed"));
  BOOST_TEST(printed.find("t1") != printed.npos);
  BOOST_TEST(printed.find("elsewhere") == printed.npos);
  BOOST_TEST(printed.find("call_done") == printed.npos);
}

// Logs of two hosts while a shard is down. Losses are counted over both logs,
// and each missing shard is counted under the sequence of all attempts at it.
BOOST_AUTO_TEST_CASE(ExplainSummary_LinesOfTwoHosts_CountsLossesByCause) {
  const std::string first = MakeFile(
      R"({"unix_ms":10000,"host":"a","event":"call_partial","request":"r1","route":"sweep","reason":"left_out","missing_shards":[3,7],"attempts":[{"shard":3,"reason":"hedge","sent_ms":40.5,"outcome":"unanswered"},{"shard":3,"reason":"first","sent_ms":0,"outcome":"broken"}]})"
      "\n"
      R"({"unix_ms":10100,"host":"a","event":"call_done","request":"r2"})"
      "\n"
      "{\"unix_ms\":1010");
  const std::string second = MakeFile(
      R"({"unix_ms":14500,"host":"b","event":"call_refused","request":"r3","route":"sweep","reason":"overload"})"
      "\n"
      R"({"unix_ms":14500,"host":"b","event":"registration_failed","status":"busy"})"
      "\n"
      R"({"unix_ms":14600,"host":"b","event":"registration_failed","status":"busy"})"
      "\n");
  BOOST_TEST((Run({"--summary", "explain", first, second}) == ExitCode::kDone));
  const std::vector<std::string> rows = Rows();
  const std::string columns =
      " call_refused call_failed call_partial call_slow call_abandoned";
  const std::vector<std::string> expected{
      "1 of 6 lines could not be read",
      "losses by window (seconds from the first)" + columns,
      "0 0 0 1 0 0",
      "4 1 0 0 0 0",
      "",
      "losses by route and reason" + columns,
      "sweep left_out 0 0 1 0 0",
      "sweep overload 1 0 0 0 0",
      "",
      "missing shards by the attempts they had",
      "first broken, hedge unanswered 1",
      "none 1",
      "",
      "other events (total; most in one window, and when)",
      "registration_failed busy 2 2 4"};
  BOOST_TEST(rows == expected, boost::test_tools::per_element());
}

// Guards against event times that count from 1970 when the logs hold no loss.
// Times must count from the first line, whatever its event is.
BOOST_AUTO_TEST_CASE(ExplainSummary_NoLosses_EventTimesCountFromFirstLine) {
  const std::string file = MakeFile(
      R"({"unix_ms":1000000000000,"host":"a","event":"started"})"
      "\n"
      R"({"unix_ms":1000000006000,"host":"a","event":"store_regained"})"
      "\n");
  BOOST_TEST((Run({"--summary", "explain", file}) == ExitCode::kDone));
  BOOST_TEST(Rows().back() == "store_regained 1 1 6");
}

BOOST_AUTO_TEST_CASE(ExplainSummary_FileDoesNotExist_NamesFile) {
  BOOST_TEST(
      (Run({"--summary", "explain", "no-such-log"}) == ExitCode::kUsage));
  BOOST_TEST(err.str().find("no-such-log") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Explain_NoFileIsGiven_IsUsageError) {
  BOOST_TEST((Run({"explain", "r1"}) == ExitCode::kUsage));
}

BOOST_AUTO_TEST_CASE(Explain_RequestIsNotInLogs_Fails) {
  const std::string file = MakeFile("\n");
  BOOST_TEST((Run({"explain", "r1", file}) == ExitCode::kFailed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::ctl
