// Tests over loopback sockets of whether a host gets the store's content from a
// feeder or from the store. The host uses a clock that the test advances.
#include "jacinthdeck/entry/feed_hub.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>

#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/peer/feed_server.h"
#include "platform/store_codec.h"
#include "store/store_server.h"
#include "support/positions.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Source of a feeder that reports that it heard from the store 1 ms ago.
struct FreshSource final : FeedSource {
  StorePosition position = At(1);

  [[nodiscard]] FeedChanges ContentSince(
      const StorePosition& /*position*/) const override {
    return {position, true, {}};
  }
  [[nodiscard]] FeedHeartbeat Heartbeat() const override {
    return {position, milliseconds(1), false};
  }
};

struct HubFixture : DiscoveryObserver, FeedHubObserver, FollowerObserver {
  static constexpr int kChanges = 5;
  //! 5 s of real time. The session times its calls by the real clock: a watch
  //! ends after at most 2.4 s, and the pause after it takes at most 0.8 s.
  static constexpr int kMaxStepsToCall = 500;

  ManualClock clock;
  BoottimeClock store_clock;
  standins::StoreServer store{0, store_clock, {}, 1};
  platform::StoreCodec codec;
  asio::io_context loop;
  FreshSource source;
  FeedServer feeder{loop, source, *this};
  StoreSession session{
      loop, clock, codec, *this, HostId("h"), {"127.0.0.1", store.port()}, 1};
  std::unique_ptr<FeedHub> hub;

  void OnDiscoveryChange(const DiscoveryChange& /*change*/,
                         const StorePosition& /*position*/) override {}
  void OnContent(const std::vector<StoreChange>& /*changes*/,
                 const StorePosition& /*position*/,
                 bool /*whole*/) override {}
  void OnStoreRestored(StoreEra /*before*/,
                       StoreEra /*era*/,
                       const StorePosition& /*known*/) override {}
  void OnStoreRead(const FullRead& /*reading*/) override {}
  void OnStoreLost(StoreStatus /*status*/,
                   const std::string& /*problem*/) override {}
  void OnStoreRegained() override {}
  void OnRegistration(StoreStatus /*status*/) override {}
  void OnFeedOpened(const Endpoint& /*feeder*/) override {}
  void OnFeedEnded(const std::string& /*problem*/) override {}
  void OnFollowerHello(const FeedHello& /*hello*/) override {}
  void OnFollowerLeft(const HostId& /*host*/) override {}

  //! Starts the hub with the feeder as its only seed.
  void StartHub() {
    BOOST_REQUIRE(static_cast<bool>(feeder.Listen("127.0.0.1", 0)));
    HostRecord self;
    self.name = HostId("h");
    self.domain = FailureDomain("z");
    hub = std::make_unique<FeedHub>(
        loop, clock, session, *this, self,
        std::vector<Endpoint>{{"127.0.0.1", feeder.port()}}, false, 1);
    BOOST_REQUIRE(static_cast<bool>(hub->Listen({"127.0.0.1", 0})));
  }

  //! Advances the host's clock by 100 ms, and serves the sockets for 10 ms of
  //! real time.
  void Step() {
    clock.Advance(milliseconds(100));
    feeder.SendHeartbeat();
    loop.restart();
    loop.run_for(milliseconds(10));
    session.ProcessTimers();
    hub->Tick();
  }

  void RunFor(Duration time) {
    const TimePoint end = clock.Now() + time;
    while (clock.Now() < end) {
      Step();
    }
  }

  void ChangeStore(int change) {
    standins::StoreControl control;
    control.puts.push_back({"op/other", std::to_string(change), {}});
    store.Apply(control);
  }

  //! Returns the number of calls to the store during five changes of its
  //! content, after 3 s for the links to settle.
  [[nodiscard]] std::uint64_t StoreCallsAfterSettling() {
    RunFor(seconds(3));
    const std::uint64_t before = StoreCalls();
    for (int change = 0; change < kChanges; ++change) {
      ChangeStore(change);
      RunFor(milliseconds(200));
    }
    return StoreCalls() - before;
  }

  //! Changes the store's content up to five times, after 3 s for the links to
  //! settle, and returns after how many of the changes in a row the host called
  //! the store.
  [[nodiscard]] int ChangesFollowedByCall() {
    RunFor(seconds(3));
    for (int change = 0; change < kChanges; ++change) {
      const std::uint64_t before = StoreCalls();
      ChangeStore(change);
      for (int step = 0; StoreCalls() == before; ++step) {
        if (step == kMaxStepsToCall) {
          return change;
        }
        Step();
      }
    }
    return kChanges;
  }

  [[nodiscard]] std::uint64_t StoreCalls() const {
    const standins::StoreCounts counts = store.counts();
    return counts.reads + counts.watches;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(FeedHubTest, HubFixture)

BOOST_AUTO_TEST_CASE(Heartbeat_Fresh_StoreIsNotCalled) {
  StartHub();
  BOOST_TEST(StoreCallsAfterSettling() == 0U);
}

// Guards against a host that relies on a feeder that has not heard of a restore
// of the store, and therefore does not learn of the new era.
BOOST_AUTO_TEST_CASE(Beat_IsOfAnEraBefore_StoreIsAsked) {
  StartHub();
  session.ApplyPeerContent({}, At(1, 2), true);
  store.content().TakeSnapshot();
  BOOST_REQUIRE(store.content().Restore());
  BOOST_TEST(ChangesFollowedByCall() == kChanges);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
