// Tests of how the replies of targets to typed calls are read.
#include "jacinthdeck/typed/target_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace jacinthdeck {

BOOST_AUTO_TEST_SUITE(TargetCodecTest)

// Guards against a part of a reply that is taken for a complete one: a body
// without a length ends wherever its connection is closed.
BOOST_AUTO_TEST_CASE(Reply_CutAfterEachByte_IsNoAnswer) {
  const std::string whole =
      R"({"version":4,"range":[0,9],"count":2,)"
      R"("hits":[{"id":"a","score":1,"data":{"x":[1]}},{"id":"b","score":2}]})";
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    const AttemptReply reply =
        DecodeTargetReply(AttemptId(1), 200, whole.substr(0, cut));
    BOOST_TEST((reply.status == AttemptStatus::kFailed), cut);
    BOOST_TEST(reply.hits.empty(), cut);
  }
  const AttemptReply reply = DecodeTargetReply(AttemptId(1), 200, whole);
  BOOST_TEST((reply.status == AttemptStatus::kAnswered));
  BOOST_TEST(reply.hits.size() == 2U);
}

// Guards against a reply that ends the host, or is taken for an answer.
BOOST_AUTO_TEST_CASE(Reply_IsOdd_IsNoAnswer) {
  const std::string deep(100'000, '[');
  const std::string begin = R"({"version":4,"range":[0,9],"count":2,"hits":)";
  for (const std::string& hits :
       {deep, deep + std::string(deep.size(), ']'), std::string("{}"),
        std::string("[7]"), std::string(R"([{"id":7,"score":1}])"),
        std::string(R"([{"id":"a","score":1e999}])"),
        std::string(R"([{"id":"a","score":18446744073709551616}])")}) {
    const AttemptReply reply =
        DecodeTargetReply(AttemptId(1), 200, begin + hits + "}");
    BOOST_TEST((reply.status == AttemptStatus::kFailed), hits.substr(0, 60));
    BOOST_TEST(reply.hits.empty(), hits.substr(0, 60));
  }
}

/*! \brief A reply that is no answer, and what it says of the attempt. */
struct RefusalCase {
  long status;
  std::string body;
  AttemptStatus expected;
};

// Guards against a request that runs twice: a status is no proof that a target
// has not run the request, as its own back end may have failed while it did.
BOOST_AUTO_TEST_CASE(Reply_RefusalWithoutItsReason_MayHaveRun) {
  const std::vector<RefusalCase> cases{
      {503, R"({"error":"shed","load":0.9})", AttemptStatus::kShed},
      {503, R"({"error":"draining"})", AttemptStatus::kShed},
      {503, R"({"error":"cold"})", AttemptStatus::kShed},
      {503, R"({"error":"backend","load":0.9})", AttemptStatus::kFailed},
      {503, R"({"error":"wrong_range"})", AttemptStatus::kFailed},
      {503, R"({"error":["shed"]})", AttemptStatus::kFailed},
      {503, R"({"error":"shed")", AttemptStatus::kFailed},
      {503, "<h1>shed</h1>", AttemptStatus::kFailed},
      {503, "", AttemptStatus::kFailed},
      {409, R"({"error":"wrong_range"})", AttemptStatus::kWrongRange},
      {409, R"({"error":"conflict"})", AttemptStatus::kFailed},
      {409, "", AttemptStatus::kFailed},
      {410, R"({"error":"version_gone"})", AttemptStatus::kVersionGone},
      {410, "gone", AttemptStatus::kFailed},
      {429, R"({"error":"shed"})", AttemptStatus::kFailed},
      {408, R"({"error":"shed"})", AttemptStatus::kFailed}};
  for (const RefusalCase& test : cases) {
    const AttemptReply reply =
        DecodeTargetReply(AttemptId(1), test.status, test.body);
    BOOST_TEST((reply.status == test.expected), test.status << test.body);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
