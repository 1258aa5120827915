// Load of callers that ignore the retry time and retry immediately. The targets
// are simulated queues in model time, without a network.
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

//! Three targets with three slots and 20 ms of work each handle 450 requests a
//! second.
constexpr Duration kWork = milliseconds(20);
constexpr Duration kTick = milliseconds(1);
constexpr double kCapacity = 450;
//! Delay of a refused caller before each retry, and its maximum number of
//! retries.
constexpr Duration kCallerRetryDelay = milliseconds(5);
constexpr int kMaxCallerRetries = 5;

struct RetryStormFixture : ForwarderFixture {
  struct Work {
    OutgoingAttempt attempt;
    TimePoint done;
  };
  struct Queue {
    std::vector<Work> running;
    std::deque<OutgoingAttempt> waiting;
  };
  //! An attempt of a caller: when it was made or is due, and the number of
  //! retries before it.
  struct CallerAttempt {
    TimePoint at;
    int retries = 0;
  };

  Random random{11};
  std::map<std::string, Queue> queues;
  std::map<CallId, CallerAttempt> submitted;
  std::deque<CallerAttempt> scheduled_retries;
  std::size_t new_requests = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t max_queue = 0;
  Duration max_refusal_latency{};

  void SubmitRequest(int retries) {
    const TimePoint now = clock.Now();
    submitted[Submit("/read/" + std::to_string(next_call))] = {now, retries};
  }

  void EnqueueSent() {
    for (const OutgoingAttempt& attempt : port.sent) {
      Queue& queue = queues[attempt.target.id.raw()];
      queue.waiting.push_back(attempt);
      max_queue = std::max(max_queue, queue.waiting.size());
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

  void HandleDelivered() {
    for (const RecordingPort::Delivered& delivered : port.delivered) {
      const CallerAttempt caller = submitted[delivered.call];
      submitted.erase(delivered.call);
      if (delivered.answer.kind == AnswerKind::kResponse) {
        ++served;
        continue;
      }
      ++refused;
      max_refusal_latency =
          std::max(max_refusal_latency, clock.Now() - caller.at);
      if (caller.retries < kMaxCallerRetries) {
        scheduled_retries.push_back(
            {clock.Now() + kCallerRetryDelay, caller.retries + 1});
      }
    }
    port.delivered.clear();
  }

  //! Submits new requests at a rate a second; refused callers retry.
  void RunLoad(double rate, Duration length) {
    new_requests = served = refused = 0;
    const TimePoint end = clock.Now() + length;
    while (clock.Now() < end) {
      if (random.Unit() < rate * 0.001) {
        ++new_requests;
        SubmitRequest(0);
      }
      while (!scheduled_retries.empty() &&
             scheduled_retries.front().at <= clock.Now()) {
        SubmitRequest(scheduled_retries.front().retries);
        scheduled_retries.pop_front();
      }
      EnqueueSent();
      Advance(kTick);
      RunTargets();
      EnqueueSent();
      HandleDelivered();
    }
  }

  [[nodiscard]] double ServedShare() const {
    return static_cast<double>(served) / static_cast<double>(new_requests);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RetryStormTest, RetryStormFixture)

// Guards against retries that take capacity from answers. Refused callers retry
// within 5 ms, up to five times, and each retry is refused immediately without
// using a target. Twice the capacity, which retries turn into ten times as
// much, must not take more than a tenth of what the targets can handle.
BOOST_AUTO_TEST_CASE(Load_TwiceCapacityWithRetries_TargetsStayProductive) {
  RunLoad(0.6 * kCapacity, seconds(5));
  BOOST_TEST(ServedShare() > 0.98);
  RunLoad(2 * kCapacity, seconds(5));
  BOOST_TEST(static_cast<double>(served) > 0.9 * 5 * kCapacity);
  BOOST_TEST(refused > served);
  BOOST_TEST((max_refusal_latency <= 2 * kTick));
}

// Guards against retries that outlast the overload: a quarter of a second after
// the load is back to normal, all requests must be served.
BOOST_AUTO_TEST_CASE(Load_BackToNormal_AllRequestsAreServed) {
  RunLoad(0.6 * kCapacity, seconds(5));
  RunLoad(2 * kCapacity, seconds(5));
  RunLoad(0.6 * kCapacity, milliseconds(250));
  RunLoad(0.6 * kCapacity, seconds(3));
  BOOST_TEST(ServedShare() > 0.98);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace jacinthdeck
