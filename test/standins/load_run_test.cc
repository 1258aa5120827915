// Tests of the load generator against entries with scripted replies.
#include "loadgen/load_run.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <string>

#include "http/http_server.h"
#include "loadgen/answer_reader.h"

namespace jacinthdeck::standins {

struct LoadRunFixture {
  const std::string whole =
      R"({"outcome":"whole","reason":"none","version":7,"attempts":3,)"
      R"("covered":[[0,4294967296]],"missing":[],)"
      R"("hits":[{"id":"a","score":1,"data":{"version":7}}]})";

  [[nodiscard]] static LoadOptions Options() {
    LoadOptions options;
    options.call = "S/M";
    options.arrivals = "constant";
    options.rate = 1000;
    options.count = 2;
    return options;
  }

  [[nodiscard]] static Endpoint EndpointOf(const HttpServer& server) {
    return {"127.0.0.1", server.port()};
  }
};

BOOST_FIXTURE_TEST_SUITE(LoadRunTest, LoadRunFixture)

// Guards against a closed loop, which would hide a stall from the report. The
// entry holds the first request until the second has arrived; a generator that
// waits for a reply before the next request would never send the second.
BOOST_AUTO_TEST_CASE(Run_FirstRequestStalls_SecondIsSentOnSchedule) {
  std::mutex mutex;
  std::condition_variable arrived;
  int requests = 0;
  const HttpServer entry({}, [&](const HttpRequest&) {
    std::unique_lock lock(mutex);
    ++requests;
    arrived.notify_all();
    arrived.wait(lock, [&] { return requests == 2; });
    return HttpReply{200, whole, false};
  });
  LoadRun run(Options(), {EndpointOf(entry)});
  const auto samples = run.Run();
  BOOST_REQUIRE(samples.size() == 2U);
  BOOST_TEST((samples[0].outcome == LoadOutcome::kWhole));
}

BOOST_AUTO_TEST_CASE(Run_EntryIsDraining_ResendsToNextEntry) {
  const HttpServer draining({}, [](const HttpRequest&) {
    return HttpReply{503, R"({"outcome":"not_run","reason":"draining"})",
                     false};
  });
  const HttpServer entry({}, [&](const HttpRequest&) {
    return HttpReply{200, whole, false};
  });
  LoadRun run(Options(), {EndpointOf(draining), EndpointOf(entry)});
  std::uint64_t resends = 0;
  for (const Sample& sample : run.Run()) {
    BOOST_TEST((sample.outcome == LoadOutcome::kWhole));
    resends += sample.resends;
  }
  BOOST_TEST(resends == 1U);
}

// Guards against a resend that hides a lost request from the report: the
// connection ends without a reply, so the request may have run.
BOOST_AUTO_TEST_CASE(Run_NoReply_CountsLostAndDoesNotResend) {
  std::mutex mutex;
  int requests = 0;
  const HttpServer entry({}, [&](const HttpRequest&) {
    const std::scoped_lock lock(mutex);
    ++requests;
    return DropConnection();
  });
  LoadOptions options = Options();
  options.count = 1;
  LoadRun run(options, {EndpointOf(entry)});
  const auto samples = run.Run();
  BOOST_REQUIRE(samples.size() == 1U);
  BOOST_TEST((samples[0].outcome == LoadOutcome::kLost));
  BOOST_TEST(requests == 1);
}

BOOST_AUTO_TEST_CASE(ReadAnswer_MixedVersionsAndDuplicateHit_CountsBoth) {
  Sample sample;
  ReadAnswer(200,
             R"({"outcome":"partial","version":7,"covered":[[0,1]],)"
             R"("missing":[[1,4]],"hits":[{"id":"a","data":{"version":7}},)"
             R"({"id":"a","data":{"version":8}}]})",
             sample);
  BOOST_TEST((sample.outcome == LoadOutcome::kPartial));
  BOOST_TEST(sample.mixed_version_hits == 1U);
  BOOST_TEST(sample.duplicate_hits == 1U);
  BOOST_TEST(sample.coverage == 0.25);
}

BOOST_AUTO_TEST_CASE(CheckLoadOptions_OutsideLoopbackOrBounds_Fails) {
  LoadOptions options = Options();
  const auto accepted = [&] {
    return Capture([&] { return CheckLoadOptions(options); }).index() == 0;
  };
  options.entries = {"127.0.0.1:4000"};
  BOOST_TEST(accepted());
  options.rate = 1e9;
  BOOST_TEST(!accepted());
  options.rate = 10;
  options.entries = {"10.0.0.1:4000"};
  BOOST_TEST(!accepted());
}

BOOST_AUTO_TEST_CASE(Arrivals_SameSeed_GiveSameTimesAtRequestedRate) {
  Arrivals first(100, true, 7);
  Arrivals second(100, true, 7);
  Duration last{};
  for (int index = 0; index < 10000; ++index) {
    last = first.Next();
    BOOST_REQUIRE((last == second.Next()));
  }
  BOOST_TEST((last > std::chrono::seconds(97)));
  BOOST_TEST((last < std::chrono::seconds(103)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::standins
