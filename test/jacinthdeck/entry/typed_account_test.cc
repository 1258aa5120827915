// Tests of which client account a typed call counts for.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "jacinthdeck/entry/account_headers.h"
#include "jacinthdeck/entry/typed_service.h"
#include "jacinthdeck/http/edge_server.h"
#include "jacinthdeck/http/loop_fixture.h"
#include "jacinthdeck/http/target_pool_sink.h"

namespace jacinthdeck {

namespace {

/*! \brief The typed calls of a host without targets: a call that is accepted
 * is answered at once and counted for its account. */
struct TypedFixture : EventLoopFixture, TargetPoolSink {
  static constexpr const char* kSchema = R"(namespace shop;
table ReadRequest { ticket:string; }
table Reply { count:int; }
rpc_service Counter {
  Read(ReadRequest):Reply (fan_out: "key", key: "ticket", merge: "lookup");
}
)";
  TargetProtocol protocol = Protocol();
  TenantTable tenants;
  //! Null on a host that knows no configuration.
  const TenantTable* known_tenants = &tenants;
  CallMetrics metrics;
  TargetPool pool{loop, clock, protocol, FailureDomain("z"), *this};
  TypedService service{clock,
                       pool,
                       metrics,
                       [] { return std::vector<HostRecord>(); },
                       [this](const EdgeRequest& request) {
                         return TypedAccountOf(request.headers, protocol,
                                               &tenants);
                       },
                       [](Fingerprint, QuarantineState) {},
                       1};
  EdgeServer server{loop, clock, service};

  TypedFixture() {
    const auto prepared = Capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(service.calls().SetSchema(kSchema));
      BOOST_LEAF_CHECK(server.Listen("127.0.0.1", 0, 9));
      return true;
    });
    BOOST_REQUIRE_EQUAL(prepared.index(), 0U);
  }

  void OnAttemptEnd(AttemptEnd& /*end*/) override {}
  void OnTargetChecked(const TargetId& /*target*/,
                       TargetCheck /*result*/) override {}

  [[nodiscard]] static TargetProtocol Protocol() {
    TargetProtocol made;
    made.key = "X-Key";
    made.tenant = "X-Account";
    return made;
  }

  void SetAccounts() {
    Tenant tenant;
    tenant.name = TenantId("shop");
    tenant.keys = {DigestOf("k1")};
    tenants = TenantTable({tenant});
  }

  //! Sends a typed call and returns the text of its answer.
  [[nodiscard]] std::string Ask(const std::string& headers) {
    tcp::socket socket(loop);
    socket.connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), server.port()));
    asio::write(
        socket,
        asio::buffer("POST /v1/Counter/Read HTTP/1.1\r\nHost: h\r\n" + headers +
                     "Content-Length: 14\r\n\r\n" + R"({"ticket":"1"})"));
    return ReadUntil(socket, "}");
  }

  [[nodiscard]] bool IsCounted(const std::string& account) const {
    return metrics.Render().find("tenant=\"" + account + '"') !=
           std::string::npos;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TypedAccountTest, TypedFixture)

// Guards against a caller who counts for an account by naming it.
BOOST_AUTO_TEST_CASE(Call_WithAccounts_CountsForTheAccountOfItsKey) {
  SetAccounts();
  const std::string answer =
      Ask("X-Key: k1\r\nX-Tenant: " + std::string(100, 'x') + "\r\n");
  BOOST_TEST(answer.find("401") == std::string::npos);
  BOOST_TEST(answer.find("X-Tenant") == std::string::npos);
  BOOST_TEST(IsCounted("shop"));
}

// Guards against typed calls as a way around the keys, and against keys in
// answers.
BOOST_AUTO_TEST_CASE(Call_WithoutValidKey_Is401AndNotRun) {
  SetAccounts();
  for (const char* headers :
       {"", "X-Tenant: shop\r\n", "X-Key: \r\n", "X-Key: secret\r\n",
        "X-Key: k1\r\nX-Key: k1\r\n"}) {
    const std::string answer = Ask(headers);
    BOOST_TEST(answer.starts_with("HTTP/1.1 401 Unauthorized\r\n"), answer);
    BOOST_TEST(answer.find("Retry-After") == std::string::npos);
    BOOST_TEST(answer.find("secret") == std::string::npos);
    BOOST_TEST(answer.find(R"("ran":"no")") != std::string::npos, answer);
  }
  BOOST_TEST(!IsCounted("shop"));
}

BOOST_AUTO_TEST_CASE(Call_WithoutAccounts_CountsForTheAccountThatItNames) {
  (void)Ask("X-Tenant: named\r\n");
  (void)Ask("X-Key: k1\r\n");
  known_tenants = nullptr;
  (void)Ask("X-Key: k1\r\nX-Tenant: early\r\n");
  for (const char* account : {"named", "default", "early"}) {
    BOOST_TEST(IsCounted(account));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
