// Load of callers that press: they do not wait as they are told and come back
// at once. The targets are queues in model time; nothing is on a network.
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "jacinthdeck/core/random.h"
#include "jacinthdeck/forward/forwarder_fixture.h"

namespace jacinthdeck {

namespace {

//! Three targets of three slots and 20 ms of work: 450 requests a second.
constexpr Duration kWork = milliseconds(20);
constexpr Duration kTick = milliseconds(1);
constexpr double kCapacity = 450;
//! A refused caller that presses comes back after this time, so many times.
constexpr Duration kPressAfter = milliseconds(5);
constexpr int kMostPresses = 5;

struct PressingFixture : ForwarderFixture {
  struct Work {
    OutgoingAttempt attempt;
    TimePoint done;
  };
  struct Queue {
    std::vector<Work> running;
    std::deque<OutgoingAttempt> waiting;
  };
  //! A caller that asks: when, and how often it has pressed before.
  struct Comeback {
    TimePoint at;
    int presses = 0;
  };

  Random random{11};
  std::map<std::string, Queue> queues;
  std::map<CallId, Comeback> asked;
  std::deque<Comeback> comebacks;
  std::size_t users = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t longest_queue = 0;
  Duration slowest_refusal{};

  void Ask(int pressed) {
    const TimePoint now = clock.Now();
    asked[Submit("/read/" + std::to_string(next_call))] = {now, pressed};
  }

  void TakeSent() {
    for (const OutgoingAttempt& attempt : port.sent) {
      Queue& queue = queues[attempt.target.id.raw()];
      queue.waiting.push_back(attempt);
      longest_queue = std::max(longest_queue, queue.waiting.size());
    }
    port.sent.clear();
  }

  void RunTargets() {
    for (auto& [id, queue] : queues) {
      std::vector<Work> running;
      running.swap(queue.running);
      for (const Work& work : running) {
        if (work.done <= clock.Now()) {
          AnswerWithLoad(work.attempt, queue);
        } else {
          queue.running.push_back(work);
        }
      }
      while (queue.running.size() < 3 && !queue.waiting.empty()) {
        queue.running.push_back({queue.waiting.front(), clock.Now() + kWork});
        queue.waiting.pop_front();
      }
    }
  }

  void AnswerWithLoad(const OutgoingAttempt& attempt, const Queue& queue) {
    AttemptEnd end;
    end.id = attempt.id;
    end.outcome = AttemptOutcome::kResponse;
    end.response.status = 200;
    end.response.stamp = "stamp";
    end.load =
        LoadReport{static_cast<std::uint32_t>(queue.running.size()),
                   static_cast<std::uint32_t>(queue.waiting.size()), 3, 1};
    forwarder.OnAttemptEnd(end, clock.Now());
  }

  void TakeDelivered() {
    for (const RecordingPort::Delivered& delivered : port.delivered) {
      const Comeback caller = asked[delivered.call];
      asked.erase(delivered.call);
      if (delivered.answer.kind == AnswerKind::kResponse) {
        ++served;
        continue;
      }
      ++refused;
      slowest_refusal = std::max(slowest_refusal, clock.Now() - caller.at);
      if (caller.presses < kMostPresses) {
        comebacks.push_back({clock.Now() + kPressAfter, caller.presses + 1});
      }
    }
    port.delivered.clear();
  }

  //! Users come at a rate a second; those that are refused press.
  void Play(double rate, Duration length) {
    users = served = refused = 0;
    const TimePoint end = clock.Now() + length;
    while (clock.Now() < end) {
      if (random.Unit() < rate * 0.001) {
        ++users;
        Ask(0);
      }
      while (!comebacks.empty() && comebacks.front().at <= clock.Now()) {
        Ask(comebacks.front().presses);
        comebacks.pop_front();
      }
      TakeSent();
      Advance(kTick);
      RunTargets();
      TakeSent();
      TakeDelivered();
    }
  }

  [[nodiscard]] double ServedShare() const {
    return static_cast<double>(served) / static_cast<double>(users);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PressingCallersTest, PressingFixture)

// Callers that are refused come back within 5 ms, five times. Each of their
// attempts is refused at once and without a target, so that the targets' time
// goes to answers: twice the load, pressed into ten times, must not take more
// than a tenth of what the targets can do.
BOOST_AUTO_TEST_CASE(Load_IsTwiceCapacityAndPressed_TargetsStayOfUse) {
  Play(0.6 * kCapacity, seconds(5));
  BOOST_TEST(ServedShare() > 0.98);
  Play(2 * kCapacity, seconds(5));
  BOOST_TEST(static_cast<double>(served) > 0.9 * 5 * kCapacity);
  BOOST_TEST(refused > served);
  BOOST_TEST((slowest_refusal <= 2 * kTick));
}

// Pressing must not outlast its cause: what is left of it a quarter of a second
// after the load is back to usual is nothing.
BOOST_AUTO_TEST_CASE(Load_IsBackToUsual_EveryoneIsServed) {
  Play(0.6 * kCapacity, seconds(5));
  Play(2 * kCapacity, seconds(5));
  Play(0.6 * kCapacity, milliseconds(250));
  Play(0.6 * kCapacity, seconds(3));
  BOOST_TEST(ServedShare() > 0.98);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
