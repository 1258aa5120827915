// Measures the processor time of engine and router per request to a target, on
// one core with many calls in flight. Prints a Markdown table with a row for
// each fan-out.
#include <chrono>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "jacinthdeck/query/engine.h"

namespace jacinthdeck::bench {

namespace {

constexpr std::size_t kReplicas = 3;
constexpr std::size_t kCallsInFlight = 64;
constexpr std::size_t kRequests = 1'000'000;

/*! \brief Load on one service whose targets answer immediately, in the order of
 * the requests. */
class EngineLoad {
 public:
  explicit EngineLoad(std::size_t shards) : m_router(1), m_engine(m_router, 1) {
    auto method = std::make_shared<Method>();
    method->service = ServiceId("CounterDesk");
    m_method = method;
    PartitionMap map;
    std::vector<TargetInfo> targets;
    for (std::size_t shard = 0; shard < shards; ++shard) {
      Shard& part = map.shards.emplace_back();
      part.range = KeyRange{kKeySpaceEnd * shard / shards,
                            kKeySpaceEnd * (shard + 1) / shards};
      for (std::size_t replica = 0; replica < kReplicas; ++replica) {
        TargetInfo info;
        info.id = TargetId("t-" + std::to_string(shard) + "-" +
                           std::to_string(replica));
        info.service = method->service;
        info.slots = 64;
        info.connections = 1024;
        part.replicas.push_back(info.id);
        targets.push_back(info);
      }
    }
    m_router.SetTargets(targets, m_now);
    m_engine.SetVersions(method->service, {map});
  }

  //! Runs calls until at least kRequests requests are sent; returns their
  //! number.
  std::size_t Run() {
    std::size_t sent = 0;
    while (sent < kRequests) {
      while (m_engine.open_calls() < kCallsInFlight) {
        SubmitOne();
        sent += CollectSends();
      }
      const SendAttempt send = std::move(m_sends.front());
      m_sends.pop_front();
      m_now += std::chrono::microseconds(10);
      AttemptReply reply;
      reply.attempt = send.attempt;
      reply.version = send.version;
      reply.range = send.range;
      reply.hits = {Hit{"ticket-" + std::to_string(send.range.begin), 1, "{}"}};
      m_engine.OnReply(reply, m_now, m_effects);
      if (m_engine.NextTimer() && *m_engine.NextTimer() <= m_now) {
        m_engine.OnTimer(m_now, m_effects);
      }
      sent += CollectSends();
    }
    return sent;
  }

  [[nodiscard]] const EngineCounters& counters() const {
    return m_engine.counters();
  }

 private:
  void SubmitOne() {
    Call call;
    call.id = CallId(m_next_call++);
    call.tenant = TenantId("counter");
    call.method = m_method;
    call.body = m_body;
    call.deadline = m_now + std::chrono::seconds(10);
    call.fingerprint = Fingerprint(call.id.raw());
    m_engine.Submit(std::move(call), m_now, m_effects);
  }

  //! Queues the requests that the engine sent; returns their number.
  std::size_t CollectSends() {
    const std::size_t count = m_effects.sends.size();
    for (SendAttempt& send : m_effects.sends) {
      m_sends.push_back(std::move(send));
    }
    m_effects.sends.clear();
    m_effects.cancels.clear();
    m_effects.answers.clear();
    return count;
  }

  Router m_router;
  Engine m_engine;
  std::shared_ptr<const Method> m_method;
  std::shared_ptr<const std::string> m_body =
      std::make_shared<const std::string>("{}");
  Effects m_effects;
  std::deque<SendAttempt> m_sends;
  TimePoint m_now;
  std::uint64_t m_next_call = 1;
};

void Measure(std::size_t shards) {
  EngineLoad load(shards);
  const auto start = std::chrono::steady_clock::now();
  const std::size_t requests = load.Run();
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  const auto count = static_cast<double>(requests);
  std::printf(
      "| %zu | %zu | %.2f | %.0f | %llu |\n", shards, requests,
      1e6 * elapsed.count() / count, count / elapsed.count(),
      static_cast<unsigned long long>(load.counters().Of(Outcome::kWhole)));
}

}  // namespace

}  // namespace jacinthdeck::bench

int main() {
  std::printf(
      "| fan-out | requests | us a request | requests a second | whole |\n"
      "|---|---|---|---|---|\n");
  for (const std::size_t shards : {1, 10, 90, 410}) {
    jacinthdeck::bench::Measure(shards);
  }
  return 0;
}
