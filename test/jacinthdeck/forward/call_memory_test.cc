// Tests of the memory that open calls take.
#include <boost/test/unit_test.hpp>
#include <string>

#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

namespace {

//! Forwarder with memory for two calls of four shards.
struct CallMemoryFixture : ForwarderFixture {
  CallMemoryFixture() : ForwarderFixture(SmallOptions()) {}

  [[nodiscard]] static ForwardOptions SmallOptions() {
    constexpr std::uint64_t kTwoCalls = 12000;
    ForwardOptions options = Options();
    options.call_memory = kTwoCalls;
    return options;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CallMemoryTest, CallMemoryFixture)

// Guards against open calls whose state fills the memory of the host.
BOOST_AUTO_TEST_CASE(Call_MemoryInUse_IsRefusedAsNotRun) {
  (void)Submit("/fan/1");
  (void)Submit("/fan/2");
  BOOST_TEST(port.delivered.empty());
  (void)Submit("/fan/3");
  const ForwardAnswer& refused = OnlyAnswer().answer;
  BOOST_TEST((refused.kind == AnswerKind::kNotRun));
  BOOST_TEST(refused.retry_after.has_value());
  BOOST_TEST(forwarder.counters().refused_for_memory == 1U);
  BOOST_TEST(port.sent.size() == 8U);
  for (std::size_t sent = 0; sent < 4; ++sent) {
    Answer(port.sent[sent], std::string(16, 'a'));
  }
  (void)Submit("/fan/4");
  BOOST_TEST(port.sent.size() == 12U);
}

// Guards against failures with long bodies that are kept while their requests
// are tried again.
BOOST_AUTO_TEST_CASE(Failure_TooLongToKeep_IsAnsweredAtOnce) {
  (void)Submit("/read/1");
  AttemptEnd end;
  end.id = port.sent.back().id;
  end.outcome = AttemptOutcome::kResponse;
  end.response.status = 500;
  end.response.stamp = "stamp";
  end.response.body.assign(4096, 'f');
  forwarder.OnAttemptEnd(end, clock.Now());
  BOOST_REQUIRE_EQUAL(port.sent.size(), 2U);
  BOOST_TEST(port.delivered.empty());
  (void)Submit("/read/2");
  end.id = port.sent.back().id;
  end.response.status = 500;
  end.response.stamp = "stamp";
  end.response.body.assign(8192, 'f');
  forwarder.OnAttemptEnd(end, clock.Now());
  BOOST_TEST(port.sent.size() == 3U);
  BOOST_TEST(OnlyAnswer().answer.response.body.size() == 8192U);
}

// Guards against a part that loses records because it is not kept whole.
BOOST_AUTO_TEST_CASE(Part_LongerThanTheAnswer_GreatestRecordsAreMerged) {
  (void)Submit("/fan/1");
  BOOST_REQUIRE_EQUAL(port.sent.size(), 4U);
  std::string body(4096, 'a');
  body.replace(2048, 16, 16, 'y');
  body.replace(4000, 16, 16, 'z');
  Answer(port.sent[0], body);
  Answer(port.sent[1], std::string(16, 'x'));
  Answer(port.sent[2], std::string(16, 'b'));
  Answer(port.sent[3], "");
  const ForwardAnswer& answer = OnlyAnswer().answer;
  BOOST_TEST(answer.records == std::string(16, 'z') + std::string(16, 'y'));
  BOOST_TEST(answer.part_stamps.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
