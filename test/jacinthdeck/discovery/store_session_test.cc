// Tests of StoreSession against the stand-in store, with real sockets and short
// waits. No assertion depends on timing.
#include "jacinthdeck/discovery/store_session.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/peer/feed_frames.h"
#include "jacinthdeck/peer/feed_message.h"
#include "platform/store_codec.h"
#include "store/store_server.h"
#include "support/positions.h"
#include "support/printers.h"

namespace jacinthdeck {

namespace {

using std::chrono::seconds;

struct ContentEvent {
  std::vector<StoreChange> changes;
  StorePosition position;
  bool whole = false;
};

[[nodiscard]] StoreChange Target(const std::string& id,
                                 std::uint64_t revision) {
  return {"servers/" + id, At(revision),
          R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,)"
          R"("state":"ready"})"};
}

[[nodiscard]] HostRecord MakeRecord(const std::string& name) {
  HostRecord host;
  host.name = HostId(name);
  host.domain = FailureDomain("z");
  host.callers = "10.0.0.1:80";
  return host;
}

struct SessionFixture : DiscoveryObserver {
  BoottimeClock clock;
  standins::StoreServer store{0, clock, {}, 1};
  platform::StoreCodec codec;
  asio::io_context loop;
  StoreSession session{
      loop, clock, codec, *this, HostId("h"), {"127.0.0.1", store.port()}, 1};
  int lost = 0;
  int regained = 0;
  int restored = 0;
  bool registered = false;
  std::vector<ContentEvent> content_events;
  std::vector<FullRead> full_reads;
  std::vector<SharedCrash> suspects;
  std::vector<Error> unreadable;

  void OnDiscoveryChange(const DiscoveryChange& change,
                         const StorePosition& /*position*/) override {
    std::ranges::copy(change.suspects, std::back_inserter(suspects));
    std::ranges::copy(change.unreadable, std::back_inserter(unreadable));
  }
  void OnContent(const std::vector<StoreChange>& changes,
                 const StorePosition& position,
                 bool whole) override {
    content_events.push_back({changes, position, whole});
  }
  void OnStoreRestored(StoreEra /*before*/,
                       StoreEra /*era*/,
                       const StorePosition& /*known*/) override {
    ++restored;
  }
  void OnStoreRead(const FullRead& reading) override {
    full_reads.push_back(reading);
  }
  void OnStoreLost(StoreStatus /*status*/,
                   const std::string& /*problem*/) override {
    ++lost;
  }
  void OnStoreRegained() override { ++regained; }
  void OnRegistration(StoreStatus status) override {
    registered = registered || status == StoreStatus::kOk;
  }

  void RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + seconds(30);
    while (!done()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(20));
      session.ProcessTimers();
    }
  }

  void PutTarget(const std::string& id) {
    standins::StoreControl control;
    control.puts.push_back(
        {"servers/" + id,
         R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,)"
         R"("state":"ready"})",
         {}});
    store.Apply(control);
  }

  void PutValue(const std::string& key, const std::string& value) {
    standins::StoreControl control;
    control.puts.push_back({key, value, {}});
    store.Apply(control);
  }

  void PutConfig(int version) {
    standins::StoreControl control;
    control.puts.push_back({"op/config",
                            R"({"version":)" + std::to_string(version) +
                                R"(,"routes":[],"services":[]})",
                            {}});
    store.Apply(control);
  }

  [[nodiscard]] std::uint64_t ConfigVersion() const {
    const auto& config = session.discovery_state().config();
    return config == nullptr ? 0 : config->version();
  }

  [[nodiscard]] bool IsConfigPublished(int version) const {
    const std::string text = "\"version\":" + std::to_string(version) + ",";
    return std::ranges::any_of(
        content_events, [&](const ContentEvent& content) {
          return std::ranges::any_of(
              content.changes, [&](const StoreChange& change) {
                return change.key == "op/config" && change.value &&
                       change.value->find(text) != std::string::npos;
              });
        });
  }

  [[nodiscard]] bool IsPublished(const std::string& key) const {
    return std::ranges::any_of(
        content_events, [&](const ContentEvent& content) {
          return std::ranges::find(content.changes, key, &StoreChange::key) !=
                 content.changes.end();
        });
  }

  void SetOutage(standins::Outage outage) {
    standins::StoreControl control;
    control.faults.outage = outage;
    store.Apply(control);
  }

  [[nodiscard]] std::size_t targets() const {
    return session.discovery_state().target_count();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StoreSessionTest, SessionFixture)

// Guards against a quarantine that no other host learns of, since it was shared
// while the store was writing another one.
BOOST_AUTO_TEST_CASE(ShareQuarantine_AnotherIsBeingWritten_BothAreStored) {
  session.SetWatching(true);
  session.ShareQuarantine(Fingerprint(1), ServiceId("s"), seconds(60));
  RunUntil([&] { return session.counters().writes == 2; });
  session.ShareQuarantine(Fingerprint(2), ServiceId("s"), seconds(60));
  RunUntil([&] {
    return IsPublished(codec.QuarantineKey(Fingerprint(1))) &&
           IsPublished(codec.QuarantineKey(Fingerprint(2)));
  });
}

// Guards against a quarantine that reaches the other hosts late: it was shared
// during a renewal and waited for the next one.
BOOST_AUTO_TEST_CASE(ShareQuarantine_RenewalIsUnderWay_IsWrittenAfterIt) {
  session.SetLeaseDuration(seconds(1));
  session.Register(MakeRecord("h"));
  RunUntil([&] { return session.counters().renewals == 1; });
  // The next renewal comes later than the test waits.
  session.SetLeaseDuration(seconds(600));
  session.ShareQuarantine(Fingerprint(1), ServiceId("s"), seconds(60));
  const std::string key = codec.QuarantineKey(Fingerprint(1));
  RunUntil([&] { return store.content().Get(key).has_value(); });
}

// Guards against removals that are delayed on a host which the store serves,
// because its feeder was rejected.
BOOST_AUTO_TEST_CASE(PeerAge_StoreAwayButOwnWriteSucceeded_StoreIsAvailable) {
  ManualClock paused;
  StoreSession host{
      loop, paused, codec, *this, HostId("h"), {"127.0.0.1", store.port()}, 1};
  host.Register(MakeRecord("h"));
  RunUntil([&] { return registered; });
  paused.Advance(std::chrono::milliseconds(1200));
  host.ApplyPeerAge(seconds(1), true, {});
  BOOST_TEST(!host.discovery_state().store_away());
  paused.Advance(std::chrono::milliseconds(200));
  host.ApplyPeerAge(seconds(1), true, {});
  BOOST_TEST(host.discovery_state().store_away());
}

BOOST_AUTO_TEST_CASE(ShareSuspect_OtherHostReadsStore_ServiceIsNamed) {
  session.SetWatching(true);
  session.ShareSuspect(Fingerprint(3), ServiceId("s"));
  RunUntil([&] { return !suspects.empty(); });
  BOOST_TEST(suspects.front().fingerprint == Fingerprint(3));
  BOOST_TEST(suspects.front().service == ServiceId("s"));
}

// Guards against a store that is flooded with writes while targets end and make
// many requests suspect.
BOOST_AUTO_TEST_CASE(ShareSuspect_ManyInARow_AreWrittenTogether) {
  constexpr std::uint64_t kSuspects = 12;
  constexpr Duration kWriteInterval = std::chrono::milliseconds(300);
  constexpr std::uint64_t kCallsPerWrite = 2;
  session.SetWatching(true);
  const TimePoint start = clock.Now();
  for (std::uint64_t at = 1; at <= kSuspects; ++at) {
    session.ShareSuspect(Fingerprint(at), ServiceId("s"));
    RunUntil([&, calls = session.counters().writes] {
      return session.counters().writes > calls || at > 1;
    });
  }
  RunUntil([&] { return suspects.size() >= kSuspects; });
  const auto intervals =
      static_cast<std::uint64_t>((clock.Now() - start) / kWriteInterval);
  BOOST_TEST(session.counters().writes <= kCallsPerWrite * (intervals + 1));
}

// Guards against refused callers on a host that knew a third of the targets:
// the host that it followed had followed a current feeder, then a lagging one,
// and sent the old content under its own newer position. Its followers took the
// targets in between for removed and ignored later changes of them as outdated.
BOOST_AUTO_TEST_CASE(Content_OfAnOlderFullRead_IsPublishedWithAllKnownKeys) {
  session.ApplyPeerContent({Target("a", 5)}, At(5), true);
  session.ApplyPeerContent({Target("b", 6)}, At(6), false);
  session.ApplyPeerContent({Target("a", 5), Target("c", 3)}, At(5), true);
  const ContentEvent& last = content_events.back();
  BOOST_TEST(last.whole);
  BOOST_TEST(last.position == At(6));
  BOOST_TEST(last.changes.size() == 3U);
}

// The store compacts its history, and the host starts a full read. Meanwhile it
// finds a current host to follow and stops reading. The changes that this host
// sends must be applied.
BOOST_AUTO_TEST_CASE(Watch_StopsDuringAFullRead_PeerChangesAreApplied) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  SetOutage(standins::Outage::kDrop);
  RunUntil([&] { return lost == 1; });
  PutTarget("b");
  standins::StoreControl control;
  control.compact = true;
  store.Apply(control);
  const std::uint64_t reads = session.counters().reads;
  SetOutage(standins::Outage::kNone);
  RunUntil([&] { return session.counters().reads > reads; });
  session.SetWatching(false);
  const std::size_t before = targets();
  session.ApplyPeerContent({Target("z", 1000)}, At(1000), false);
  BOOST_TEST(targets() == before + 1);
}

// Guards against an endless exchange between two hosts that follow each other:
// a full read without new content must not be sent on.
BOOST_AUTO_TEST_CASE(Content_FullReadWithoutChanges_IsNotPublished) {
  session.ApplyPeerContent({Target("a", 5)}, At(5), true);
  BOOST_TEST(content_events.size() == 1U);
  session.ApplyPeerContent({Target("a", 5)}, At(5), true);
  session.ApplyPeerContent({Target("a", 5)}, At(6), false);
  BOOST_TEST(content_events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Start_StoreHasEntries_AreReadAndWatched) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  PutTarget("b");
  RunUntil([&] { return targets() == 2; });
}

// The store accepts calls and answers none, on connections that stay open. Only
// the timeout of a call detects this. Afterwards the watch continues from its
// last position.
BOOST_AUTO_TEST_CASE(Watch_StoreStopsAnswering_IsDetectedAndCatchesUp) {
  session.SetWatching(true);
  RunUntil([&] { return session.last_contact().has_value(); });
  SetOutage(standins::Outage::kSilent);
  RunUntil([&] { return lost == 1; });
  PutTarget("a");
  SetOutage(standins::Outage::kNone);
  RunUntil([&] { return regained == 1 && targets() == 1; });
}

// Guards against requests to a target that has left: the store refuses only
// this host, and another host that just reached the store reports the removal,
// which must take effect at once.
BOOST_AUTO_TEST_CASE(Watch_StoreRefusesOnlyThisHost_RemovalsApplyAtOnce) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  SetOutage(standins::Outage::kBusy);
  RunUntil([&] {
    session.ApplyPeerAge(Duration::zero(), false, {});
    return lost == 1;
  });
  session.ApplyPeerAge(Duration::zero(), false, {});
  BOOST_TEST(!session.discovery_state().store_away());
  session.ApplyPeerContent({{"servers/a", At(1000), std::nullopt}}, At(1000),
                           false);
  BOOST_TEST(targets() == 0U);
}

// The store compacts its history while the host watches. The host reads all
// keys again and keeps the known content until then.
BOOST_AUTO_TEST_CASE(Watch_HistoryIsCompacted_ReadsAllAgain) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  const std::uint64_t reads = session.counters().reads;
  PutTarget("b");
  standins::StoreControl control;
  control.compact = true;
  store.Apply(control);
  RunUntil([&] { return targets() == 2; });
  BOOST_TEST(session.counters().reads >= reads);
}

// Guards against a host that stops following the store for ever: the changes
// since its last watch make a reply that is larger than is read, and the same
// watch is asked again.
BOOST_AUTO_TEST_CASE(Watch_ReplyIsTooLarge_ContentIsReadInPages) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  session.SetWatching(false);
  constexpr std::size_t kValueBytes = kMaxJsonBytes / 4;
  for (const char* id : {"l1", "l2", "l3", "l4", "l5", "l6"}) {
    PutValue("servers/" + std::string(id), std::string(kValueBytes, 'x'));
  }
  PutTarget("b");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 2 || lost > 0; });
  BOOST_TEST(targets() == 2U);
  BOOST_TEST(lost == 0);
  PutTarget("c");
  RunUntil([&] { return targets() == 3; });
  BOOST_TEST(lost == 0);
  BOOST_TEST(full_reads.size() == 2U);
}

// Guards against a host that stops following the store for ever: the changes
// since its last watch exceed what the connection accepts.
BOOST_AUTO_TEST_CASE(Watch_ReplyExceedsTheBodyLimit_ContentIsReadInPages) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  session.SetWatching(false);
  constexpr int kValues = 17;
  for (int at = 0; at < kValues; ++at) {
    PutValue("servers/l" + std::to_string(at), std::string(1U << 20U, 'x'));
  }
  PutTarget("b");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 2 || lost > 0; });
  BOOST_TEST(targets() == 2U);
  BOOST_TEST(lost == 0);
}

// Guards against a host that stops following the store for ever: the reply to
// its watch takes longer than the timeout, and the same watch is asked again.
BOOST_AUTO_TEST_CASE(Watch_RepliesTakeTooLong_ContentIsReadInPages) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  standins::StoreControl control;
  control.puts.push_back({"servers/b", *Target("b", 1).value, {}});
  control.faults.watches_unanswered = true;
  store.Apply(control);
  RunUntil([&] { return targets() == 2 || lost > 0; });
  BOOST_TEST(targets() == 2U);
  BOOST_TEST(lost == 0);
  BOOST_TEST(unreadable.size() == 1U);
}

// Guards against hosts that all read the whole content after an outage: the
// watches of all of them timed out, and each has changes to catch up on.
BOOST_AUTO_TEST_CASE(Watch_TimedOutInAnOutage_ContentIsNotReadInPages) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  SetOutage(standins::Outage::kSilent);  // Before the first watch begins.
  RunUntil([&] { return session.counters().failures == 1; });
  BOOST_TEST(session.counters().watches == 1U);
  BOOST_TEST(session.discovery_state().store_away());
  PutTarget("b");  // Ends the outage.
  RunUntil([&] { return targets() == 2 || full_reads.size() == 2; });
  BOOST_TEST(session.counters().watches == 2U);
  BOOST_TEST(full_reads.size() == 1U);
  BOOST_TEST(!session.discovery_state().store_away());
}

// Guards against an outage that is not noticed, as only a watch that ends with
// an error counted as a loss of the store.
BOOST_AUTO_TEST_CASE(Watch_TimesOutAndNextCallToo_StoreIsLost) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  SetOutage(standins::Outage::kSilent);
  RunUntil([&] { return session.counters().failures == 2; });
  BOOST_TEST(lost == 1);
  PutTarget("b");
  RunUntil([&] { return targets() == 2; });
  BOOST_TEST(regained == 1);
  BOOST_TEST(full_reads.size() == 1U);
}

// Guards against a second call while one is in progress: the wait for the next
// watch had expired when the host stopped watching.
BOOST_AUTO_TEST_CASE(Watching_EndsWhenTheNextWatchIsDue_NoneIsMade) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  asio::steady_timer due(loop, seconds(1));
  due.wait();
  asio::post(loop, [] {});
  loop.restart();
  BOOST_REQUIRE(loop.poll_one() == 1U);
  session.SetWatching(false);
  loop.poll();
  BOOST_TEST(session.counters().watches == 0U);
}

// Guards against a host that ends or stops following because of one odd entry
// of another writer. Each entry arrives by a watch, by a range and by a feed.
BOOST_AUTO_TEST_CASE(Content_OneEntryIsOdd_OthersHoldAndOneReasonIsGiven) {
  const auto target = [](const std::string& address, const std::string& slots) {
    return R"({"service":"s","zone":"z","state":"ready","address":")" +
           address + R"(","slots":)" + slots + "}";
  };
  const std::string good = target("10.0.0.1:80", "1");
  const std::string deep(100'000, '[');
  const std::string odd = "servers/odd";
  const std::vector<standins::ControlPut> odd_entries{
      {odd, "", {}},
      {odd, deep, {}},
      {odd, target("10.0.0.1:80", deep + std::string(deep.size(), ']')), {}},
      {odd, target("10.0.0.1:80", "18446744073709551616"), {}},
      {odd, target("10.0.0.1:80", "4294967296"), {}},
      {odd, target("10.0.0.1:80", "-1"), {}},
      {odd, target("10.0.0.1:80", "1.5"), {}},
      {odd, target("10.0.0.1:80", "\"8\""), {}},
      {odd, target("10.0.0.1:80", "1,\"slots\":1"), {}},
      {odd, target("10.0.0.1:65536", "1"), {}},
      {odd, target("10.0.0.1:0", "1"), {}},
      {odd, target("10.0.0.1:-1", "1"), {}},
      {odd, std::string(1U << 20U, 'x'), {}},
      {odd, std::string("\0\xff", 2), {}},
      {std::string("servers/o\0d", 11), good, {}},
      {"servers/o\r\nX: d", good, {}},
      {"op/config", deep, {}},
      {"op/config", R"({"version":18446744073709551616})", {}},
  };
  session.SetWatching(true);
  RunUntil([&] { return session.loaded(); });
  std::size_t good_targets = 0;
  for (const standins::ControlPut& entry : odd_entries) {
    BOOST_TEST_CONTEXT(entry.key << " " << entry.value.substr(0, 80)) {
      unreadable.clear();
      standins::StoreControl control;
      control.puts.push_back(entry);
      store.Apply(control);
      PutTarget("t" + std::to_string(++good_targets));
      RunUntil([&] { return targets() == good_targets; });
      BOOST_TEST(unreadable.size() == 1U);

      unreadable.clear();
      StoreSession reader{loop,  clock,       codec,
                          *this, HostId("r"), {"127.0.0.1", store.port()},
                          1};
      reader.SetWatching(true);
      RunUntil([&] { return reader.loaded(); });
      BOOST_TEST(reader.discovery_state().target_count() == good_targets);
      BOOST_TEST(unreadable.size() == 1U);

      unreadable.clear();
      StoreSession follower{loop,  clock,       codec,
                            *this, HostId("f"), {"127.0.0.1", store.port()},
                            1};
      FeedFrameReader frames;
      frames.Add(EncodeFeedMessage(session.UpdateSince({})));
      const auto message =
          Capture([&] { return DecodeFeedMessage(frames.Next().value()); });
      BOOST_REQUIRE_EQUAL(message.index(), 0U);
      const auto& changes = std::get<FeedChanges>(std::get<0>(message));
      follower.ApplyPeerContent(changes.changes, changes.position,
                                changes.whole);
      BOOST_TEST(follower.discovery_state().target_count() == good_targets);
      BOOST_TEST(unreadable.size() == 1U);

      control.puts.clear();
      control.removes.push_back(entry.key);
      store.Apply(control);
      RunUntil([&] {
        return session.position().revision >= store.content().revision();
      });
    }
  }
  BOOST_TEST(lost == 0);
}

// Guards against hosts that keep an old configuration for seconds: the store
// was restored from a backup and their feeder ignored what was written since.
BOOST_AUTO_TEST_CASE(
    Watch_StoreIsRestoredFromABackup_ConfigurationIsPublished) {
  PutConfig(1);
  session.SetWatching(true);
  RunUntil([&] { return ConfigVersion() == 1; });
  store.content().TakeSnapshot();
  for (const char* id : {"a", "b", "c"}) {
    PutTarget(id);
  }
  PutConfig(2);
  RunUntil([&] { return ConfigVersion() == 2; });
  SetOutage(standins::Outage::kDrop);
  RunUntil([&] { return lost == 1; });
  BOOST_TEST(store.content().Restore());
  SetOutage(standins::Outage::kNone);
  PutConfig(3);
  RunUntil([&] { return ConfigVersion() == 3; });
  BOOST_TEST(IsConfigPublished(3));
}

// Guards against changes that are missed because the restored store has already
// passed the revision after which the host watches.
BOOST_AUTO_TEST_CASE(Watch_RestoredStorePassedTheKnownRevision_MissesNothing) {
  PutTarget("a");
  session.SetWatching(true);
  RunUntil([&] { return targets() == 1; });
  store.content().TakeSnapshot();
  PutTarget("b");
  RunUntil([&] { return targets() == 2; });
  SetOutage(standins::Outage::kDrop);
  RunUntil([&] { return lost == 1; });
  BOOST_TEST(store.content().Restore());
  for (const char* id : {"c", "d", "e", "f"}) {
    PutTarget(id);
  }
  SetOutage(standins::Outage::kNone);
  RunUntil([&] { return targets() == 6; });
  BOOST_TEST(restored == 1);
  BOOST_TEST((session.position().era == StoreEra(2)));
}

// Guards against changes of the previous era from a feeder that has not yet
// noticed the restore.
BOOST_AUTO_TEST_CASE(Content_OfAnEndedEra_IsIgnored) {
  session.ApplyPeerContent({Target("a", 5)}, At(5), true);
  StoreChange newer = Target("b", 3);
  newer.position = At(3, 2);
  session.ApplyPeerContent({newer}, At(3, 2), true);
  BOOST_TEST(content_events.back().position == At(3, 2));
  const std::size_t before = content_events.size();
  session.ApplyPeerContent({Target("c", 90)}, At(90), true);
  session.ApplyPeerContent({Target("d", 91)}, At(91), false);
  BOOST_TEST(content_events.size() == before);
  BOOST_TEST(session.position() == At(3, 2));
}

// Guards against a host that applies single changes of an era whose full
// content it does not know.
BOOST_AUTO_TEST_CASE(Content_ChangesOfANewEraWithoutItsContent_AreNotApplied) {
  session.ApplyPeerContent({Target("a", 5)}, At(5), true);
  StoreChange newer = Target("b", 7);
  newer.position = At(7, 2);
  session.ApplyPeerContent({newer}, At(7, 2), false);
  BOOST_TEST(targets() == 1U);
  BOOST_TEST(!session.IsNewEraOverdue());
  RunUntil([&] { return session.IsNewEraOverdue(); });
}

// Guards against a host that starts now and serves an older configuration than
// the others because the restored store lacks the newest one.
BOOST_AUTO_TEST_CASE(Content_BackupLacksTheConfiguration_IsPublished) {
  PutConfig(1);
  session.SetWatching(true);
  RunUntil([&] { return ConfigVersion() == 1; });
  store.content().TakeSnapshot();
  PutConfig(2);
  RunUntil([&] { return ConfigVersion() == 2; });
  BOOST_TEST(store.content().Restore());
  RunUntil([&] { return session.position().era == StoreEra(2); });
  BOOST_TEST(ConfigVersion() == 2U);
  content_events.push_back({session.UpdateSince({}).changes, {}, true});
  BOOST_TEST(IsConfigPublished(2));
  // It is also sent to a host that has read the restored store itself.
  const ContentUpdate rest = session.UpdateSince(session.position());
  BOOST_TEST(!rest.whole);
  BOOST_REQUIRE_EQUAL(rest.changes.size(), 1U);
  BOOST_TEST(rest.changes[0].key == "op/config");
  PutConfig(3);
  RunUntil([&] { return ConfigVersion() == 3; });
}

// Guards against a host that read the restored store itself and ignores a newer
// configuration of the previous era, which the other hosts serve.
BOOST_AUTO_TEST_CASE(Content_ConfigurationOfAnEarlierEra_IsComparedByVersion) {
  const auto config = [](int version, const StorePosition& position) {
    return StoreChange{"op/config", position,
                       R"({"version":)" + std::to_string(version) +
                           R"(,"routes":[],"services":[]})"};
  };
  session.ApplyPeerContent({config(4, At(5, 2))}, At(8, 2), true);
  session.ApplyPeerContent({config(7, At(83))}, At(8, 2), false);
  BOOST_TEST(ConfigVersion() == 7U);
  BOOST_TEST(IsConfigPublished(7));
  const std::size_t before = content_events.size();
  session.ApplyPeerContent({config(7, At(83))}, At(8, 2), false);
  BOOST_TEST(content_events.size() == before);
}

// Guards against a fleet that ignores repeated writes after a restore: all
// hosts were lost as well, and none that starts knows more than the backup.
BOOST_AUTO_TEST_CASE(Start_StoreWasRestoredMeanwhile_RepeatedWritesAreApplied) {
  PutConfig(1);
  PutTarget("left");
  store.content().TakeSnapshot();
  PutConfig(2);
  standins::StoreControl leaves;
  leaves.removes.emplace_back("servers/left");
  store.Apply(leaves);
  PutTarget("new");
  BOOST_TEST(store.content().Restore());
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  RunUntil([&] { return session.loaded(); });
  BOOST_TEST((session.position().era == StoreEra(2)));
  BOOST_TEST(ConfigVersion() == 1U);
  BOOST_TEST(restored == 0);
  PutConfig(2);
  store.Apply(leaves);
  PutTarget("new");
  RunUntil([&] { return ConfigVersion() == 2; });
  RunUntil([&] {
    const std::vector<TargetEntry> known = session.discovery_state().Targets();
    return known.size() == 1 && known[0].id == TargetId("new");
  });
  RunUntil([&] {
    return store.content().Get(codec.HostKey(HostId("h"))).has_value();
  });
}

// Guards against a host that gets no callers: the backup lacks its record, and
// the id of its lease belongs to another host.
BOOST_AUTO_TEST_CASE(
    Register_StoreIsRestored_RecordIsWrittenWithALeaseOfItsOwn) {
  store.content().TakeSnapshot();
  session.Register(MakeRecord("h"));
  const std::string key = codec.HostKey(HostId("h"));
  RunUntil([&] { return store.content().Get(key).has_value(); });
  const std::uint64_t first = store.content().Get(key)->lease;
  BOOST_TEST(store.content().Restore());
  std::uint64_t other = 0;
  while (other < first) {
    other = store.content().Grant(seconds(600));
  }
  RunUntil([&] { return store.content().Get(key).has_value(); });
  BOOST_TEST(store.content().Get(key)->lease > first);
}

BOOST_AUTO_TEST_CASE(Register_LeaseIsEndedByTheStore_IsWrittenAgain) {
  const HostRecord host = MakeRecord("h");
  session.SetWatching(true);
  session.Register(host);
  const auto is_known = [&] {
    return session.discovery_state().FindHost(host.name) != nullptr;
  };
  RunUntil(is_known);
  const std::uint64_t first =
      store.content().Get(codec.HostKey(host.name))->lease;
  BOOST_TEST(store.content().Revoke(first));
  RunUntil([&] {
    const auto item = store.content().Get(codec.HostKey(host.name));
    return item && item->lease != first;
  });
  session.Unregister();
  RunUntil([&] { return !store.content().Get(codec.HostKey(host.name)); });
}

// A feeder writes the records of three members in one call, with its own lease.
// When one of them leaves and no other host writes its record, it is removed.
BOOST_AUTO_TEST_CASE(
    Members_ThreeConnect_AreWrittenAtOnceAndRemovedWhenTheyLeave) {
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  const auto has = [&](const std::string& name) {
    return store.content().Get(codec.HostKey(HostId(name))).has_value();
  };
  RunUntil([&] { return has("h"); });
  for (const char* name : {"a", "b", "c"}) {
    session.AddMember(codec.WriteHost(MakeRecord(name)));
  }
  const std::uint64_t writes = session.counters().writes;
  RunUntil([&] { return has("a") && has("b") && has("c"); });
  BOOST_TEST(session.counters().writes == writes + 1);
  session.RemoveMember(HostId("b"));
  RunUntil([&] { return !has("b"); });
  BOOST_TEST(has("a"));
}

// The store ends the feeder's lease and with it all records that the feeder
// wrote. They are written again as soon as the feeder has a new lease.
BOOST_AUTO_TEST_CASE(Members_LeaseIsEndedByTheStore_AreWrittenAgain) {
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  session.AddMember(codec.WriteHost(MakeRecord("a")));
  const std::string key = codec.HostKey(HostId("a"));
  RunUntil([&] { return store.content().Get(key).has_value(); });
  const std::uint64_t first = store.content().Get(key)->lease;
  RunUntil([&] {
    return session.discovery_state().FindHost(HostId("a")) != nullptr;
  });
  BOOST_TEST(store.content().Revoke(first));
  RunUntil([&] {
    const auto item = store.content().Get(key);
    return item && item->lease != first;
  });
}

// Guards against hosts that get no callers: their feeder wrote their records
// after the backup was taken, with a lease that no longer exists.
BOOST_AUTO_TEST_CASE(Members_StoreIsRestored_AreWrittenAgain) {
  const std::string key = codec.HostKey(HostId("a"));
  store.content().TakeSnapshot();
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  session.AddMember(codec.WriteHost(MakeRecord("a")));
  RunUntil([&] { return store.content().Get(key).has_value(); });
  BOOST_TEST(store.content().Restore());
  BOOST_TEST(!store.content().Get(key).has_value());
  RunUntil([&] { return store.content().Get(key).has_value(); });
  const std::string own = codec.HostKey(HostId("h"));
  BOOST_TEST(store.content().Get(key)->lease ==
             store.content().Get(own)->lease);
}

// Guards against the removal of a record of another writer: a former writer
// waits to remove its orphaned record, and the store is restored and reuses the
// revision of that record.
BOOST_AUTO_TEST_CASE(Members_RevisionIsReused_RecordOfAnotherWriterStays) {
  const std::string key = codec.HostKey(HostId("a"));
  const auto put = [&](const std::string& writer) {
    HostRecord record = MakeRecord("a");
    record.writer = HostId(writer);
    standins::StoreControl control;
    control.puts.push_back({key, codec.WriteHost(record), {}});
    store.Apply(control);
  };
  store.content().TakeSnapshot();
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  RunUntil([&] {
    return session.discovery_state().FindHost(HostId("h")) != nullptr;
  });
  put("h");
  RunUntil([&] {
    return session.discovery_state().FindHost(HostId("a")) != nullptr;
  });
  session.SetWatching(false);
  const std::uint64_t revision = store.content().Get(key)->revision;
  BOOST_TEST(store.content().Restore());
  while (store.content().revision() + 1 < revision) {
    PutTarget("t");
  }
  put("g");
  BOOST_REQUIRE_EQUAL(store.content().Get(key)->revision, revision);
  RunUntil([&] { return restored == 1; });
  const TimePoint long_after = clock.Now() + seconds(4);
  RunUntil([&] { return clock.Now() >= long_after; });
  BOOST_TEST(store.content().Get(key).has_value());
}

// Guards against a host that never gets callers again: a late write of its
// former feeder replaces its record before the host has seen its own, and the
// feeder removes that record as orphaned some seconds later.
BOOST_AUTO_TEST_CASE(Register_FormerFeederWritesLate_IsWrittenAgain) {
  const std::string key = codec.HostKey(HostId("h"));
  session.Register(MakeRecord("h"));
  RunUntil([&] { return store.content().Get(key).has_value(); });
  HostRecord late = MakeRecord("h");
  late.writer = HostId("feeder");
  standins::StoreControl control;
  control.puts.push_back({key, codec.WriteHost(late), {}});
  store.Apply(control);
  session.SetWatching(true);
  RunUntil([&] {
    const HostRecord* stored = session.discovery_state().FindHost(HostId("h"));
    return stored != nullptr && stored->writer == HostId("h");
  });
}

// Guards against callers that are sent to a stopped host for as long as its
// feeder lives: the host removes the record that its feeder wrote.
BOOST_AUTO_TEST_CASE(Unregister_RecordIsOnAnotherLease_IsRemoved) {
  const std::string key = codec.HostKey(HostId("h"));
  standins::StoreControl control;
  control.puts.push_back({key, codec.WriteHost(MakeRecord("h")), {}});
  store.Apply(control);
  session.DelegateRecord();
  session.Unregister();
  RunUntil([&] { return !store.content().Get(key).has_value(); });
}

// Every write takes effect but its reply is lost. The host keeps retrying, and
// its record is present once replies arrive again.
BOOST_AUTO_TEST_CASE(Register_RepliesAreLost_RecordIsWrittenEventually) {
  standins::StoreControl control;
  control.faults.lose_reply_share = 1;
  store.Apply(control);
  const HostRecord host = MakeRecord("h");
  session.SetWatching(true);
  session.Register(host);
  RunUntil([&] { return store.counts().replies_lost >= 2; });
  control.faults.lose_reply_share = 0;
  store.Apply(control);
  RunUntil([&] {
    return store.content().Get(codec.HostKey(host.name)).has_value();
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
