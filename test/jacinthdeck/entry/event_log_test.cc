// Tests of the log: its format, its limits, and the page that documents it.
#include "jacinthdeck/entry/event_log.h"

#include <jansson.h>
#include <limits.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <limits>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <thread>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck {

namespace {

using std::chrono::seconds;

struct LogFixture {
  std::array<int, 2> pipe_ends{};
  ManualClock clock;

  LogFixture() { BOOST_REQUIRE_EQUAL(pipe(pipe_ends.data()), 0); }
  ~LogFixture() {
    close(pipe_ends[0]);
    close(pipe_ends[1]);
  }

  //! Returns the lines written to the pipe. The writer must be destroyed
  //! before, so that all its lines are in the pipe.
  [[nodiscard]] std::vector<std::string> Lines() {
    std::string text(1 << 16, '\0');
    const ssize_t count = read(pipe_ends[0], text.data(), text.size());
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      lines.push_back(line);
    }
    return lines;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EventLogTest, LogFixture)

BOOST_AUTO_TEST_CASE(Line_HoldsAnyBytes_IsOneJsonObject) {
  {
    LogWriter writer(pipe_ends[1]);
    EventLog log({"h1", 65536}, clock, writer);
    LogLine line = log.Begin(LogEvent::kCallFailed);
    line.Text("request", std::string("a\"b\\c\n\x01\xff", 8))
        .Milliseconds("took_ms", std::chrono::microseconds(1250))
        .Flag("away", true)
        // The largest hash, which JSON parsers reject as a number.
        .Hash("fingerprint", ~std::uint64_t{0})
        .Raw("attempts", "[1]");
    log.Add(std::move(line));
    log.Flush();
  }
  const auto lines = Lines();
  BOOST_REQUIRE_EQUAL(lines.size(), 1U);
  const JsonPtr json(json_loads(lines[0].c_str(), 0, nullptr));
  BOOST_REQUIRE(json != nullptr);
  BOOST_TEST(json_string_value(json_object_get(json.get(), "event")) ==
             std::string("call_failed"));
  BOOST_TEST(json_string_value(json_object_get(json.get(), "host")) ==
             std::string("h1"));
  BOOST_TEST(json_real_value(json_object_get(json.get(), "took_ms")) == 1.3,
             boost::test_tools::tolerance(0.1));
}

// Under overload every call is logged. Without a limit the log would grow with
// the load: lines beyond the bytes per second are dropped and counted, and the
// count is logged once there is room.
BOOST_AUTO_TEST_CASE(Log_VolumeExceedsLimit_LinesAreDroppedAndCountIsLogged) {
  {
    LogWriter writer(pipe_ends[1]);
    EventLog log({"h1", 1024}, clock, writer);
    for (int i = 0; i < 200; ++i) {
      log.Add(log.Begin(LogEvent::kCallRefused));
    }
    BOOST_TEST(log.dropped() > 100U);
    clock.Advance(seconds(10));
    log.Add(log.Begin(LogEvent::kCallRefused));
    log.Flush();
  }
  const auto lines = Lines();
  BOOST_TEST(lines.size() < 40U);
  BOOST_TEST(lines[lines.size() - 2].find("\"event\":\"lines_dropped\"") !=
             std::string::npos);
}

// When the reader of standard output is stuck, the pipe and the ring fill up.
// Logging must drop lines and not block on the reader.
BOOST_AUTO_TEST_CASE(Log_ReaderIsStuck_LinesAreDroppedAndCounted) {
  LogWriter writer(pipe_ends[1]);
  EventLog log({"h1", 1U << 30U}, clock, writer);
  const std::string text(8000, 'x');
  for (int i = 0; i < 400; ++i) {
    LogLine line = log.Begin(LogEvent::kCallDone);
    line.Text("request", text);
    log.Add(std::move(line));
    log.Flush();
  }
  BOOST_TEST(log.dropped() > 0U);
}

// Guards against a host that is killed before it ends, because the reader of
// its log takes the rest of it slowly or not at all.
BOOST_AUTO_TEST_CASE(LogWriter_ReaderIsSlowOrStuckAtTheEnd_EndsInTime) {
  using std::chrono::milliseconds;
  // Time between the end of a host and its kill.
  constexpr milliseconds kEndBefore{100};
  const std::string chunk(8000, 'x');
  for (const bool reads_slowly : {false, true}) {
    std::atomic<bool> ended = false;
    std::thread reader([&] {
      std::string piece(PIPE_BUF, '\0');
      while (reads_slowly && !ended) {
        (void)read(pipe_ends[0], piece.data(), piece.size());
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
    // Other processes may delay one of the stops, so the shortest one counts.
    auto shortest = std::chrono::steady_clock::duration::max();
    for (int i = 0; i < 3; ++i) {
      auto writer = std::make_unique<LogWriter>(pipe_ends[1]);
      // Fills the pipe and the ring.
      for (int refused = 0; refused < 3;) {
        if (!writer->TryWrite(chunk)) {
          ++refused;
          std::this_thread::sleep_for(milliseconds(5));
        }
      }
      const auto began = std::chrono::steady_clock::now();
      writer.reset();
      shortest = std::min(shortest, std::chrono::steady_clock::now() - began);
    }
    ended = true;
    reader.join();
    BOOST_TEST((shortest < kEndBefore),
               "reads slowly: "
                   << reads_slowly << ", took "
                   << std::chrono::duration_cast<milliseconds>(shortest).count()
                   << " ms");
  }
}

// Guards against the line of a crash, which another thread writes, within a
// line of the log. A socket of packets shows what is written at once.
BOOST_AUTO_TEST_CASE(LogWriter_ChunkExceedsOneWrite_EachWriteEndsWithALine) {
  std::array<int, 2> ends{};
  BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends.data()) == 0);
  std::string chunk;
  for (int i = 0; i < 3; ++i) {
    chunk.append(PIPE_BUF / 2, 'x');
    chunk += '\n';
  }
  {
    LogWriter writer(ends[1]);
    BOOST_REQUIRE(writer.TryWrite(chunk));
  }
  close(ends[1]);
  std::string text;
  std::string piece(std::size_t{2} * PIPE_BUF, '\0');
  ssize_t count = 0;
  while ((count = read(ends[0], piece.data(), piece.size())) > 0) {
    text.append(piece, 0, static_cast<std::size_t>(count));
    BOOST_TEST(text.back() == '\n');
  }
  close(ends[0]);
  BOOST_TEST((text == chunk));
}

// The page must list every event of the table, and no event that is not logged.
BOOST_AUTO_TEST_CASE(Page_ListsEvents_MatchesEventTable) {
  std::string path(JACINTHDECK_DOCS);
  path.append("/operate/logs.md");
  std::ifstream page(path);
  BOOST_REQUIRE(page.good());
  std::set<std::string> named;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| `")) {
      named.insert(line.substr(3, line.find('`', 3) - 3));
    }
  }
  std::set<std::string> logged;
  for (const std::string_view name : kLogEventNames.names) {
    logged.emplace(name);
  }
  BOOST_TEST(named == logged, boost::test_tools::per_element());
}

// Guards against lines that hold an object without members, such as the fronts
// by domain when there is none, and cannot be parsed.
BOOST_AUTO_TEST_CASE(LogLine_WithoutFields_IsEmptyObject) {
  BOOST_TEST(LogLine().Finish() == "{}");
  LogLine line;
  line.Number("a", 0.25).Number("b", std::numeric_limits<double>::infinity());
  const std::string text = std::move(line).Finish();
  BOOST_TEST(text == R"({"a":0.250,"b":null})");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
