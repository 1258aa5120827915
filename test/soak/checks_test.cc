// Tests that the soak's checks report a violation of each promise.
#include "soak/checks.h"

#include <sys/wait.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/http/status.h"

namespace jacinthdeck::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntry = 3;

[[nodiscard]] TimePoint At(Duration since_start) {
  return TimePoint(seconds(100)) + since_start;
}

struct HistoryFixture {
  History history;

  //! Adds a query that was answered 20 ms after it was sent, with two shards of
  //! the layout.
  Call& AddCall(const std::string& id, Duration sent, std::uint32_t layout) {
    Call call;
    call.id = id;
    call.kind = CallKind::kQuery;
    call.entry = kEntry;
    call.sent = At(sent);
    call.ended = At(sent + milliseconds(20));
    call.status = http_status::kOk;
    call.records = {{layout, 0, HashOf(id)}, {layout, 1, HashOf(id)}};
    history.calls.push_back(call);
    return history.calls.back();
  }

  void AddRun(const std::string& id, const std::string& target, Duration at) {
    history.runs.push_back({id, target, At(at)});
  }

  [[nodiscard]] bool BreaksOnly(Promise promise) const {
    const std::vector<Violation> found = FindViolations(history);
    return found.size() == 1 && found.front().promise == promise;
  }

  [[nodiscard]] bool HoldsAll() const {
    return FindViolations(history).empty();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ChecksTest, HistoryFixture)

BOOST_AUTO_TEST_CASE(Entry_RunsOnAfterSigterm_IsReported) {
  history.unheeded_stops = {"entry-0"};
  BOOST_TEST(BreaksOnly(Promise::kStopIsHeeded));
}

// Guards against a process that the platform has to kill, which goes unnoticed
// if it has no open request at that moment.
BOOST_AUTO_TEST_CASE(Entry_RunsBeyondItsGracePeriod_IsReported) {
  history.overdue_stops = {"entry-0.3"};
  BOOST_TEST(BreaksOnly(Promise::kStopIsHeeded));
}

// Guards against an entry that dies by itself, and is not seen because the plan
// restarts it.
BOOST_AUTO_TEST_CASE(Entry_EndsWithoutASignalOfThePlan_IsReported) {
  const auto check = [&](const EntryOutcome& outcome, bool is_planned) {
    history.entry_outcomes = {outcome};
    BOOST_TEST((is_planned ? HoldsAll() : BreaksOnly(Promise::kEntryLives)));
  };
  const int segv = SIGSEGV;
  const int killed = SIGKILL;
  const int status_one = W_EXITCODE(1, 0);
  check({"entry-0.0", false, false, std::nullopt, ""}, true);
  check({"entry-0.0", false, false, segv, ""}, false);
  check({"entry-0.0", false, false, killed, ""}, false);
  check({"entry-0.0", false, false, 0, ""}, false);
  check({"entry-0.0", false, true, killed, ""}, true);
  check({"entry-0.0", false, true, segv, ""}, false);
  check({"entry-0.0", false, true, status_one, ""}, false);
  check({"entry-0.0", true, false, 0, ""}, true);
  check({"entry-0.0", true, false, status_one, ""}, false);
  check({"entry-0.0", true, false, SIGTERM, ""}, false);
  check({"entry-0.0", true, true, killed, ""}, true);
  check({"entry-0.0", true, true, 0, ""}, true);
}

// Guards against a sanitizer's report that is not seen, because the process was
// stopped or killed as well.
BOOST_AUTO_TEST_CASE(Entry_SanitizerReports_IsReported) {
  history.entry_outcomes = {
      {"entry-0.0", true, false, 0, "ERROR: LeakSanitizer: detected leaks"}};
  BOOST_TEST(BreaksOnly(Promise::kEntryLives));
}

BOOST_AUTO_TEST_CASE(Claim_RanTwice_IsReported) {
  AddCall("a", seconds(1), 1).kind = CallKind::kClaim;
  AddRun("a", "t1", seconds(1));
  BOOST_TEST(HoldsAll());
  AddRun("a", "t2", seconds(1));
  BOOST_TEST(BreaksOnly(Promise::kRunsOnce));
}

BOOST_AUTO_TEST_CASE(Lookup_RanTwice_IsAllowed) {
  AddCall("a", seconds(1), 1).kind = CallKind::kLookup;
  AddRun("a", "t1", seconds(1));
  AddRun("a", "t2", seconds(1));
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_CASE(Claim_RefusedAsNotRunAndRanLater_IsReported) {
  Call& call = AddCall("a", seconds(1), 1);
  call.kind = CallKind::kClaim;
  call.status = http_status::kUnavailable;
  call.records.clear();
  BOOST_TEST(HoldsAll());
  AddRun("a", "t1", seconds(5));
  BOOST_TEST(BreaksOnly(Promise::kNotRunIsTrue));
}

BOOST_AUTO_TEST_CASE(Run_WithoutRequest_IsReported) {
  AddRun("a", "t1", seconds(1));
  BOOST_TEST(BreaksOnly(Promise::kOnlyAskedRuns));
}

BOOST_AUTO_TEST_CASE(Answer_HoldsTwoLayouts_IsReported) {
  AddCall("a", seconds(1), 1).records[1].layout = 2;
  BOOST_TEST(BreaksOnly(Promise::kOneLayout));
}

BOOST_AUTO_TEST_CASE(Answer_HoldsAShardTwice_IsReported) {
  AddCall("a", seconds(1), 1).records[1].shard = 0;
  BOOST_TEST(BreaksOnly(Promise::kOneLayout));
}

BOOST_AUTO_TEST_CASE(Answer_HoldsAnotherRequestsRecord_IsReported) {
  AddCall("a", seconds(1), 1).records[1].request = HashOf("b");
  BOOST_TEST(BreaksOnly(Promise::kOneLayout));
}

BOOST_AUTO_TEST_CASE(Answer_SuccessWithoutRecords_IsReported) {
  AddCall("a", seconds(1), 1).records.clear();
  BOOST_TEST(BreaksOnly(Promise::kOneLayout));
}

BOOST_AUTO_TEST_CASE(OldLayout_WithinTheBound_IsAllowed) {
  history.layouts = {{1, At({})}, {2, At(seconds(10))}};
  AddCall("a", milliseconds(12900), 1);
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_CASE(OldLayout_AfterTheBound_IsReported) {
  history.layouts = {{1, At({})}, {2, At(seconds(10))}};
  AddCall("a", milliseconds(13100), 1);
  BOOST_TEST(BreaksOnly(Promise::kConfigInTime));
}

BOOST_AUTO_TEST_CASE(
    OldLayout_AtAnEntryAfterAFault_IsAllowedUntilContactBound) {
  history.layouts = {{1, At({})}, {2, At(seconds(10))}};
  history.fault_periods = {
      {kEntry, FaultEffect::kPropagation, At(seconds(9)), At(seconds(12))}};
  AddCall("a", milliseconds(15900), 1);
  BOOST_TEST(HoldsAll());
  AddCall("b", milliseconds(16100), 1);
  BOOST_TEST(BreaksOnly(Promise::kConfigInTime));
}

BOOST_AUTO_TEST_CASE(Layout_GoesBackAtOneEntry_IsReported) {
  AddCall("a", seconds(1), 2);
  AddCall("b", milliseconds(1200), 1);
  BOOST_TEST(HoldsAll());
  AddCall("c", milliseconds(1300), 1);
  BOOST_TEST(BreaksOnly(Promise::kConfigNeverReverts));
}

BOOST_AUTO_TEST_CASE(Layout_IsOlderAtAnotherEntry_IsAllowed) {
  AddCall("a", seconds(1), 2);
  AddCall("b", seconds(2), 1).entry = kEntry + 1;
  BOOST_TEST(HoldsAll());
}

BOOST_AUTO_TEST_CASE(Target_HasLeftAndGetsARequest_IsReported) {
  history.departures = {{"t1", At(seconds(10))}};
  AddCall("a", milliseconds(12900), 1);
  AddRun("a", "t1", milliseconds(12900));
  BOOST_TEST(HoldsAll());
  AddCall("b", milliseconds(13100), 1);
  AddRun("b", "t1", milliseconds(13100));
  BOOST_TEST(BreaksOnly(Promise::kLeftTargetGetsNothing));
}

BOOST_AUTO_TEST_CASE(Domain_IsEvacuatedAndGetsARequest_IsReported) {
  history.placements = {{"t1", "z1"}, {"t2", "z2"}};
  history.evacuations = {{"z1", At(seconds(10)), At(seconds(15))}};
  AddCall("a", milliseconds(10900), 1);
  AddRun("a", "t1", milliseconds(10900));
  AddCall("b", milliseconds(11100), 1);
  AddRun("b", "t2", milliseconds(11100));
  AddCall("c", milliseconds(15100), 1);
  AddRun("c", "t1", milliseconds(15100));
  BOOST_TEST(HoldsAll());
  AddCall("d", milliseconds(11100), 1);
  AddRun("d", "t1", milliseconds(11100));
  BOOST_TEST(BreaksOnly(Promise::kEvacuatedGetsNothing));
}

BOOST_AUTO_TEST_CASE(Request_RanAndItsConnectionEnded_IsReported) {
  Call& call = AddCall("a", seconds(1), 1);
  call.end = CallEnd::kClosed;
  call.status = 0;
  call.records.clear();
  BOOST_TEST(HoldsAll());
  AddRun("a", "t1", seconds(1));
  BOOST_TEST(BreaksOnly(Promise::kNoRequestIsCut));
  history.fault_periods = {{kEntry, FaultEffect::kConnections,
                            At(milliseconds(1010)), TimePoint::max()}};
  BOOST_TEST(HoldsAll());
}

// Guards against an entry that leaves requests at slow targets open until the
// platform kills it, which was excused because the calls ended after the kill.
BOOST_AUTO_TEST_CASE(Request_IsOpenWhenItsStoppingEntryMustEnd_IsReported) {
  history.fault_periods = {
      {kEntry, FaultEffect::kStopOverdue, At(seconds(5)), TimePoint::max()}};
  for (const Duration ended : {milliseconds(4000), milliseconds(5500)}) {
    history.calls.clear();
    Call& call = AddCall("a", seconds(3), 1);
    call.end = CallEnd::kClosed;
    call.status = 0;
    call.records.clear();
    call.ended = At(ended);
    history.runs.clear();
    AddRun("a", "t1", seconds(3));
    BOOST_TEST(BreaksOnly(Promise::kNoRequestIsCut));
  }
  history.calls.back().sent = At(seconds(5));
  BOOST_TEST(HoldsAll());
  history.calls.back().entry = kEntry + 1;
  BOOST_TEST(BreaksOnly(Promise::kNoRequestIsCut));
}

BOOST_AUTO_TEST_CASE(SlowCall_RanTwiceOrAfterARefusal_IsReported) {
  Call& call = AddCall("a", seconds(1), 1);
  call.kind = CallKind::kSlow;
  AddRun("a", "t1", seconds(1));
  BOOST_TEST(HoldsAll());
  AddRun("a", "t2", seconds(1));
  BOOST_TEST(BreaksOnly(Promise::kRunsOnce));
  history.runs.pop_back();
  call.status = http_status::kUnavailable;
  call.records.clear();
  BOOST_TEST(BreaksOnly(Promise::kNotRunIsTrue));
}

BOOST_AUTO_TEST_CASE(CalmPeriod_FewCallsAreAnswered_IsReported) {
  history.calm_since = At(seconds(10));
  for (int index = 0; index < 10; ++index) {
    Call& call = AddCall(std::to_string(index), seconds(11 + index), 1);
    if (index >= 3) {
      call.status = http_status::kUnavailable;
      call.records.clear();
    }
  }
  BOOST_TEST(HoldsAll());
  history.calls[2].status = http_status::kUnavailable;
  history.calls[2].records.clear();
  BOOST_TEST(BreaksOnly(Promise::kRecovers));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck::soak
