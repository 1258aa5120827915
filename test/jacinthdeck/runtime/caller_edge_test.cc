// Tests of what the callers' edge refuses by itself; its decision thread is
// never started.
#include "jacinthdeck/runtime/caller_edge.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <variant>

#include "jacinthdeck/core/manual_clock.h"

namespace jacinthdeck {

struct CallerEdgeFixture {
  static constexpr const char* kSchema =
      R"(table Find { text:string (required); }
table Claim { ticket:string; }
table Reply { n:int; }
rpc_service Desk {
  Search(Find):Reply (fan_out: "all");
  Take(Claim):Reply (fan_out: "key", key: "ticket", merge: "lookup", repeat: "once");
}
)";

  CallerEdgeFixture() {
    auto parsed = Capture([] { return Schema::Parse(kSchema); });
    schema.Set(
        std::make_shared<const Schema>(std::move(std::get<Schema>(parsed))));
  }

  //! Takes the one place of the ring.
  void FillRing() {
    DecisionEvent event = HostsRead{};
    BOOST_REQUIRE(loop.TryPush(event));
  }

  HttpReply Post(const std::string& method,
                 const std::string& body,
                 const std::string& request_id = "",
                 const std::string& deadline = "",
                 std::uint32_t open_calls = 10) {
    CallerEdge edge(clock, loop, schema, metrics, open_calls);
    const std::string path = "/v1/Desk/" + method;
    return edge.Handle(HttpRequest{
        "POST", path, body, [&](const char* name) -> std::string_view {
          const std::string_view header = name;
          return header == "X-Request-Id"    ? std::string_view(request_id)
                 : header == "X-Deadline-Ms" ? std::string_view(deadline)
                                             : std::string_view();
        }});
  }

  static bool Holds(const HttpReply& reply, const std::string& text) {
    return reply.body.find(text) != std::string::npos;
  }

  const std::string claim = R"({"ticket":"T"})";
  const std::string id = "akl-1.5.t100-a";
  ManualClock clock;
  DecisionLoop loop{clock, 1};
  Published<Schema> schema;
  Metrics metrics;
};

BOOST_FIXTURE_TEST_SUITE(CallerEdgeTest, CallerEdgeFixture)

BOOST_AUTO_TEST_CASE(Edge_BadInput_IsATyped4xxThatNamesTheField) {
  BOOST_TEST(Post("Search", "{").status == 400U);
  BOOST_TEST(
      Holds(Post("Search", R"({"text":"a","x":1})"), "unknown field: x"));
  BOOST_TEST(Holds(Post("Take", R"({})", id), R"("field":"ticket")"));
  BOOST_TEST(Holds(Post("Take", claim), R"("field":"X-Request-Id")"));
  BOOST_TEST(Holds(Post("Take", claim, "a.b"), R"("field":"X-Request-Id")"));
  for (const char* deadline : {"0", "-1", "x", "60001", "1e3"}) {
    const HttpReply reply = Post("Search", R"({"text":"a"})", "", deadline);
    BOOST_TEST(reply.status == 400U);
    BOOST_TEST(Holds(reply, R"("field":"X-Deadline-Ms")"));
    BOOST_TEST(Holds(reply, R"("ran":"no")"));
  }
  BOOST_TEST(Post("Nothing", "{}").status == 404U);
  DecisionEvent event = HostsRead{};
  BOOST_TEST(loop.TryPush(event), "something reached the decision thread");
}

// The edge is full when a claim's resend comes; the first sending has run. "Not
// run" would make the caller claim again under a new id, and two cobblers would
// take one ticket.
BOOST_AUTO_TEST_CASE(Edge_FullWhenARequestIdComes_SaysUnknownNotNotRun) {
  FillRing();
  for (const std::uint32_t open_calls : {0U, 10U}) {
    const HttpReply search =
        Post("Search", R"({"text":"a"})", "", "", open_calls);
    BOOST_TEST(search.status == 503U);
    BOOST_TEST(Holds(search, R"("outcome":"not_run")"));
    BOOST_TEST(search.retry_after.has_value());
    const HttpReply resend = Post("Take", claim, id, "", open_calls);
    BOOST_TEST(resend.status == 504U);
    BOOST_TEST(Holds(resend, R"("outcome":"unknown")"));
    BOOST_TEST(resend.retry_after.has_value());
  }
}

// Between two sendings of a claim its call goes out of the schema, or the node
// loses its configuration. The first sending may have run, so that the error
// must not say otherwise.
BOOST_AUTO_TEST_CASE(Edge_ErrorForARequestId_DoesNotSayThatItWasNotRun) {
  BOOST_TEST(Holds(Post("Gone", claim, id), R"("ran":"unknown")"));
  BOOST_TEST(Holds(Post("Gone", claim), R"("ran":"no")"));
  schema.Set(nullptr);
  BOOST_TEST(Holds(Post("Take", claim, id), R"("ran":"unknown")"));
  BOOST_TEST(Holds(Post("Search", R"({"text":"a"})"), R"("ran":"no")"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
