// Tests of the store's client against the stand-in store, with real sockets and
// short waits: what is asserted never depends on how fast something was.
#include "jacinthdeck/discovery/store_session.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "jacinthdeck/core/steady_clock.h"
#include "platform/store_codec.h"
#include "store/store_server.h"
#include "support/positions.h"

namespace jacinthdeck {

namespace {

using std::chrono::seconds;

struct HandedOn {
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
  host.name = NodeId(name);
  host.domain = FailureDomain("z");
  host.callers = "10.0.0.1:80";
  return host;
}

struct SessionFixture : KnowledgeObserver {
  SteadyClock clock;
  standins::StoreServer store{0, clock, {}, 1};
  platform::StoreCodec codec;
  asio::io_context loop;
  StoreSession session{
      loop, clock, codec, *this, NodeId("h"), {"127.0.0.1", store.port()}, 1};
  int lost = 0;
  int regained = 0;
  int restored = 0;
  std::vector<HandedOn> handed_on;
  std::vector<StoreReading> readings;

  void OnKnowledge(const KnowledgeChange& /*change*/,
                   const StorePosition& /*position*/) override {}
  void OnContent(const std::vector<StoreChange>& changes,
                 const StorePosition& position,
                 bool whole) override {
    handed_on.push_back({changes, position, whole});
  }
  void OnStoreRestored(StoreEra /*before*/,
                       StoreEra /*era*/,
                       const StorePosition& /*known*/) override {
    ++restored;
  }
  void OnStoreRead(const StoreReading& reading) override {
    readings.push_back(reading);
  }
  void OnStoreLost(StoreStatus /*status*/,
                   const std::string& /*problem*/) override {
    ++lost;
  }
  void OnStoreRegained() override { ++regained; }
  void OnRegistration(StoreStatus /*status*/) override {}

  void Until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + seconds(30);
    while (!done()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(20));
      session.CheckTimes();
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

  void PutConfig(int version) {
    standins::StoreControl control;
    control.puts.push_back({"op/config",
                            R"({"version":)" + std::to_string(version) +
                                R"(,"routes":[],"services":[]})",
                            {}});
    store.Apply(control);
  }

  [[nodiscard]] std::uint64_t ConfigVersion() const {
    const auto& config = session.knowledge().config();
    return config == nullptr ? 0 : config->version();
  }

  [[nodiscard]] bool HandedOnConfig(int version) const {
    const std::string text = "\"version\":" + std::to_string(version) + ",";
    return std::ranges::any_of(handed_on, [&](const HandedOn& content) {
      return std::ranges::any_of(
          content.changes, [&](const StoreChange& change) {
            return change.key == "op/config" && change.value &&
                   change.value->find(text) != std::string::npos;
          });
    });
  }

  void SetOutage(standins::Outage outage) {
    standins::StoreControl control;
    control.faults.outage = outage;
    store.Apply(control);
  }

  [[nodiscard]] std::size_t targets() const {
    return session.knowledge().target_count();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StoreSessionTest, SessionFixture)

// Callers of another host are refused, as it knows a third of the targets. This
// host followed a fresh feeder, then a stale one, and handed the stale content
// on under its own newer revision; whoever learned from it took the targets in
// between for removed, and later words on them for old.
BOOST_AUTO_TEST_CASE(Content_OfAnOlderReading_IsHandedOnWithAllThatIsKnown) {
  session.TakeContent({Target("a", 5)}, At(5), true);
  session.TakeContent({Target("b", 6)}, At(6), false);
  session.TakeContent({Target("a", 5), Target("c", 3)}, At(5), true);
  const HandedOn& last = handed_on.back();
  BOOST_TEST(last.whole);
  BOOST_TEST(last.position == At(6));
  BOOST_TEST(last.changes.size() == 3U);
}

// The store forgets its history, and the host reads all again. Meanwhile it
// finds a fresh host to follow and stops reading; changes from there count.
BOOST_AUTO_TEST_CASE(Watch_StopsInTheMiddleOfAReading_TakesHandedOnChanges) {
  PutTarget("a");
  session.SetWatching(true);
  Until([&] { return targets() == 1; });
  SetOutage(standins::Outage::kDrop);
  Until([&] { return lost == 1; });
  PutTarget("b");
  standins::StoreControl control;
  control.compact = true;
  store.Apply(control);
  const std::uint64_t reads = session.counters().reads;
  SetOutage(standins::Outage::kNone);
  Until([&] { return session.counters().reads > reads; });
  session.SetWatching(false);
  const std::size_t before = targets();
  session.TakeContent({Target("z", 1000)}, At(1000), false);
  BOOST_TEST(targets() == before + 1);
}

// Two hosts follow each other. A reading that tells nothing new must end at the
// one that has it: handed on, it would go to and fro for ever.
BOOST_AUTO_TEST_CASE(Content_ReadingWithoutNews_IsNotHandedOn) {
  session.TakeContent({Target("a", 5)}, At(5), true);
  BOOST_TEST(handed_on.size() == 1U);
  session.TakeContent({Target("a", 5)}, At(5), true);
  session.TakeContent({Target("a", 5)}, At(6), false);
  BOOST_TEST(handed_on.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Start_EntriesAreThere_AreReadAndChangesFollow) {
  PutTarget("a");
  session.SetWatching(true);
  Until([&] { return targets() == 1; });
  PutTarget("b");
  Until([&] { return targets() == 2; });
}

// The store takes calls and answers none, on connections that stay open. Only
// the call's own timeout shows it; afterwards the watch goes on from where it
// was.
BOOST_AUTO_TEST_CASE(Watch_StoreFallsSilent_IsNoticedAndCatchesUp) {
  session.SetWatching(true);
  Until([&] { return session.last_well().has_value(); });
  SetOutage(standins::Outage::kSilent);
  Until([&] { return lost == 1; });
  PutTarget("a");
  SetOutage(standins::Outage::kNone);
  Until([&] { return regained == 1 && targets() == 1; });
}

// The store refuses this host alone. Another host heard it a moment ago and
// tells that a target has left: the removal counts at once.
BOOST_AUTO_TEST_CASE(Watch_OnlyThisHostIsTurnedAway_RemovalsCountAtOnce) {
  PutTarget("a");
  session.SetWatching(true);
  Until([&] { return targets() == 1; });
  SetOutage(standins::Outage::kBusy);
  Until([&] {
    session.TakeAge(Duration::zero(), false);
    return lost == 1;
  });
  session.TakeAge(Duration::zero(), false);
  BOOST_TEST(!session.knowledge().store_away());
  session.TakeContent({{"servers/a", At(1000), std::nullopt}}, At(1000), false);
  BOOST_TEST(targets() == 0U);
}

// The store forgets its history while the host waits. The host reads all again;
// until then it keeps what it knows.
BOOST_AUTO_TEST_CASE(Watch_HistoryIsForgotten_ReadsAllAgain) {
  PutTarget("a");
  session.SetWatching(true);
  Until([&] { return targets() == 1; });
  const std::uint64_t reads = session.counters().reads;
  PutTarget("b");
  standins::StoreControl control;
  control.compact = true;
  store.Apply(control);
  Until([&] { return targets() == 2; });
  BOOST_TEST(session.counters().reads >= reads);
}

// Guards against hosts that keep an old configuration for seconds, as the store
// came back from a copy and their feeder dropped what it wrote since.
BOOST_AUTO_TEST_CASE(Watch_StoreIsRestoredFromACopy_ConfigurationIsHandedOn) {
  PutConfig(1);
  session.SetWatching(true);
  Until([&] { return ConfigVersion() == 1; });
  store.content().TakeSnapshot();
  for (const char* id : {"a", "b", "c"}) {
    PutTarget(id);
  }
  PutConfig(2);
  Until([&] { return ConfigVersion() == 2; });
  SetOutage(standins::Outage::kDrop);
  Until([&] { return lost == 1; });
  BOOST_TEST(store.content().Restore());
  SetOutage(standins::Outage::kNone);
  PutConfig(3);
  Until([&] { return ConfigVersion() == 3; });
  BOOST_TEST(HandedOnConfig(3));
}

// Guards against changes that are missed, as the restored store has passed the
// revision after which the host watches.
BOOST_AUTO_TEST_CASE(Watch_RestoredStorePassedTheKnownRevision_MissesNothing) {
  PutTarget("a");
  session.SetWatching(true);
  Until([&] { return targets() == 1; });
  store.content().TakeSnapshot();
  PutTarget("b");
  Until([&] { return targets() == 2; });
  SetOutage(standins::Outage::kDrop);
  Until([&] { return lost == 1; });
  BOOST_TEST(store.content().Restore());
  for (const char* id : {"c", "d", "e", "f"}) {
    PutTarget(id);
  }
  SetOutage(standins::Outage::kNone);
  Until([&] { return targets() == 6; });
  BOOST_TEST(restored == 1);
  BOOST_TEST((session.position().era == StoreEra(2)));
}

// Guards against a feeder whose store has not come back yet, for this host, and
// that hands on words of the era before.
BOOST_AUTO_TEST_CASE(Content_OfAnEndedEra_IsDropped) {
  session.TakeContent({Target("a", 5)}, At(5), true);
  StoreChange newer = Target("b", 3);
  newer.position = At(3, 2);
  session.TakeContent({newer}, At(3, 2), true);
  BOOST_TEST(handed_on.back().position == At(3, 2));
  const std::size_t before = handed_on.size();
  session.TakeContent({Target("c", 90)}, At(90), true);
  session.TakeContent({Target("d", 91)}, At(91), false);
  BOOST_TEST(handed_on.size() == before);
  BOOST_TEST(session.position() == At(3, 2));
}

// Guards against a host that takes single changes of an era whose content it
// does not know.
BOOST_AUTO_TEST_CASE(Content_ChangesOfANewEraWithoutItsContent_AreNotTaken) {
  session.TakeContent({Target("a", 5)}, At(5), true);
  StoreChange newer = Target("b", 7);
  newer.position = At(7, 2);
  session.TakeContent({newer}, At(7, 2), false);
  BOOST_TEST(targets() == 1U);
  BOOST_TEST(!session.IsLeftBehind());
  Until([&] { return session.IsLeftBehind(); });
}

// Guards against a host that starts now and serves an older configuration than
// the others, whose store came back without the newest.
BOOST_AUTO_TEST_CASE(Content_ConfigurationIsNotInTheCopy_IsHandedOn) {
  PutConfig(1);
  session.SetWatching(true);
  Until([&] { return ConfigVersion() == 1; });
  store.content().TakeSnapshot();
  PutConfig(2);
  Until([&] { return ConfigVersion() == 2; });
  BOOST_TEST(store.content().Restore());
  Until([&] { return session.position().era == StoreEra(2); });
  BOOST_TEST(ConfigVersion() == 2U);
  handed_on.push_back({session.HandoverSince({}).changes, {}, true});
  BOOST_TEST(HandedOnConfig(2));
  // Also to a host that has read the copy itself.
  const StoreHandover rest = session.HandoverSince(session.position());
  BOOST_TEST(!rest.whole);
  BOOST_REQUIRE_EQUAL(rest.changes.size(), 1U);
  BOOST_TEST(rest.changes[0].key == "op/config");
  PutConfig(3);
  Until([&] { return ConfigVersion() == 3; });
}

// Guards against a host that read the copy itself and does not believe a newer
// configuration of the era before, which the others serve.
BOOST_AUTO_TEST_CASE(Content_ConfigurationOfTheEraBefore_IsTakenByItsVersion) {
  const auto config = [](int version, const StorePosition& position) {
    return StoreChange{"op/config", position,
                       R"({"version":)" + std::to_string(version) +
                           R"(,"routes":[],"services":[]})"};
  };
  session.TakeContent({config(4, At(5, 2))}, At(8, 2), true);
  session.TakeContent({config(7, At(83))}, At(8, 2), false);
  BOOST_TEST(ConfigVersion() == 7U);
  BOOST_TEST(HandedOnConfig(7));
  const std::size_t before = handed_on.size();
  session.TakeContent({config(7, At(83))}, At(8, 2), false);
  BOOST_TEST(handed_on.size() == before);
}

// Guards against a fleet that stays without the lost writes: all hosts were
// lost as well, and none that starts knows more than the copy.
BOOST_AUTO_TEST_CASE(Start_StoreWasRestoredMeanwhile_RepeatedWritesAreTaken) {
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
  Until([&] { return session.loaded(); });
  BOOST_TEST((session.position().era == StoreEra(2)));
  BOOST_TEST(ConfigVersion() == 1U);
  BOOST_TEST(restored == 0);
  PutConfig(2);
  store.Apply(leaves);
  PutTarget("new");
  Until([&] { return ConfigVersion() == 2; });
  Until([&] {
    const std::vector<TargetEntry> known = session.knowledge().Targets();
    return known.size() == 1 && known[0].id == TargetId("new");
  });
  Until([&] {
    return store.content().Get(codec.HostKey(NodeId("h"))).has_value();
  });
}

// Guards against a host that nobody is sent to: its record is not in the copy,
// and its lease's number is another host's.
BOOST_AUTO_TEST_CASE(
    Register_StoreIsRestored_RecordIsWrittenWithALeaseOfItsOwn) {
  store.content().TakeSnapshot();
  session.Register(MakeRecord("h"));
  const std::string key = codec.HostKey(NodeId("h"));
  Until([&] { return store.content().Get(key).has_value(); });
  const std::uint64_t first = store.content().Get(key)->lease;
  BOOST_TEST(store.content().Restore());
  std::uint64_t other = 0;
  while (other < first) {
    other = store.content().Grant(seconds(600));
  }
  Until([&] { return store.content().Get(key).has_value(); });
  BOOST_TEST(store.content().Get(key)->lease > first);
}

BOOST_AUTO_TEST_CASE(Register_LeaseIsEndedByTheStore_IsWrittenAgain) {
  const HostRecord host = MakeRecord("h");
  session.SetWatching(true);
  session.Register(host);
  const auto is_known = [&] {
    return session.knowledge().FindHost(host.name) != nullptr;
  };
  Until(is_known);
  const std::uint64_t first =
      store.content().Get(codec.HostKey(host.name))->lease;
  BOOST_TEST(store.content().Revoke(first));
  Until([&] {
    const auto item = store.content().Get(codec.HostKey(host.name));
    return item && item->lease != first;
  });
  session.Unregister();
  Until([&] { return !store.content().Get(codec.HostKey(host.name)); });
}

// A feeder writes the records of three followers in one call, with its own
// lease. When one of them goes elsewhere and nobody writes it, the record goes.
BOOST_AUTO_TEST_CASE(Members_ThreeCome_AreWrittenAtOnceAndGoWhenTheyLeave) {
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  const auto has = [&](const std::string& name) {
    return store.content().Get(codec.HostKey(NodeId(name))).has_value();
  };
  Until([&] { return has("h"); });
  for (const char* name : {"a", "b", "c"}) {
    session.TakeMember(codec.WriteHost(MakeRecord(name)));
  }
  const std::uint64_t writes = session.counters().writes;
  Until([&] { return has("a") && has("b") && has("c"); });
  BOOST_TEST(session.counters().writes == writes + 1);
  session.DropMember(NodeId("b"));
  Until([&] { return !has("b"); });
  BOOST_TEST(has("a"));
}

// The feeder's lease is ended by the store, and with it all that it wrote. All
// of it is back as soon as the feeder has a lease again.
BOOST_AUTO_TEST_CASE(Members_LeaseIsEndedByTheStore_AreWrittenAgain) {
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  session.TakeMember(codec.WriteHost(MakeRecord("a")));
  const std::string key = codec.HostKey(NodeId("a"));
  Until([&] { return store.content().Get(key).has_value(); });
  const std::uint64_t first = store.content().Get(key)->lease;
  Until([&] { return session.knowledge().FindHost(NodeId("a")) != nullptr; });
  BOOST_TEST(store.content().Revoke(first));
  Until([&] {
    const auto item = store.content().Get(key);
    return item && item->lease != first;
  });
}

// Guards against hosts that nobody is sent to: their feeder wrote their records
// after the copy was made, with a lease that is gone.
BOOST_AUTO_TEST_CASE(Members_StoreIsRestored_AreWrittenAgain) {
  const std::string key = codec.HostKey(NodeId("a"));
  store.content().TakeSnapshot();
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  session.TakeMember(codec.WriteHost(MakeRecord("a")));
  Until([&] { return store.content().Get(key).has_value(); });
  BOOST_TEST(store.content().Restore());
  BOOST_TEST(!store.content().Get(key).has_value());
  Until([&] { return store.content().Get(key).has_value(); });
  const std::string own = codec.HostKey(NodeId("h"));
  BOOST_TEST(store.content().Get(key)->lease ==
             store.content().Get(own)->lease);
}

// Guards against a host that removes another one's record: the former writer
// waits to take out what it wrote, and the store comes back and gives the
// revision of that out again.
BOOST_AUTO_TEST_CASE(Members_RevisionIsGivenOutAgain_RecordOfItIsLeftAlone) {
  const std::string key = codec.HostKey(NodeId("a"));
  const auto put = [&](const std::string& writer) {
    HostRecord record = MakeRecord("a");
    record.writer = NodeId(writer);
    standins::StoreControl control;
    control.puts.push_back({key, codec.WriteHost(record), {}});
    store.Apply(control);
  };
  store.content().TakeSnapshot();
  session.SetWatching(true);
  session.Register(MakeRecord("h"));
  Until([&] { return session.knowledge().FindHost(NodeId("h")) != nullptr; });
  put("h");
  Until([&] { return session.knowledge().FindHost(NodeId("a")) != nullptr; });
  session.SetWatching(false);
  const std::uint64_t revision = store.content().Get(key)->revision;
  BOOST_TEST(store.content().Restore());
  while (store.content().revision() + 1 < revision) {
    PutTarget("t");
  }
  put("g");
  BOOST_REQUIRE_EQUAL(store.content().Get(key)->revision, revision);
  Until([&] { return restored == 1; });
  const TimePoint long_after = clock.Now() + seconds(4);
  Until([&] { return clock.Now() >= long_after; });
  BOOST_TEST(store.content().Get(key).has_value());
}

// A host writes its own record, and a late write of its former feeder takes its
// place before the host has seen its own. The feeder takes the record back some
// seconds later, and callers would never be sent to the host again.
BOOST_AUTO_TEST_CASE(Register_FormerFeederWritesLate_IsWrittenAgain) {
  const std::string key = codec.HostKey(NodeId("h"));
  session.Register(MakeRecord("h"));
  Until([&] { return store.content().Get(key).has_value(); });
  HostRecord late = MakeRecord("h");
  late.writer = NodeId("feeder");
  standins::StoreControl control;
  control.puts.push_back({key, codec.WriteHost(late), {}});
  store.Apply(control);
  session.SetWatching(true);
  Until([&] {
    const HostRecord* held = session.knowledge().FindHost(NodeId("h"));
    return held != nullptr && held->writer == NodeId("h");
  });
}

// A host is stopped whose record its feeder wrote. It takes the record out
// itself: callers would be sent to it for as long as the feeder lives.
BOOST_AUTO_TEST_CASE(Unregister_RecordIsAnothersLease_IsTakenOut) {
  const std::string key = codec.HostKey(NodeId("h"));
  standins::StoreControl control;
  control.puts.push_back({key, codec.WriteHost(MakeRecord("h")), {}});
  store.Apply(control);
  session.LeaveRecord();
  session.Unregister();
  Until([&] { return !store.content().Get(key).has_value(); });
}

// Every write takes effect and loses its reply. The host goes on trying, and
// its record stands once replies come again.
BOOST_AUTO_TEST_CASE(Register_RepliesAreLost_RecordStandsInTheEnd) {
  standins::StoreControl control;
  control.faults.lose_reply_share = 1;
  store.Apply(control);
  const HostRecord host = MakeRecord("h");
  session.SetWatching(true);
  session.Register(host);
  Until([&] { return store.counts().replies_lost >= 2; });
  control.faults.lose_reply_share = 0;
  store.Apply(control);
  Until([&] {
    return store.content().Get(codec.HostKey(host.name)).has_value();
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
