// How fast a revision reaches the last node, and what the configuration costs
// the store and the peers, with the store up and down. Prints Markdown tables.
#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <optional>

#include "support/cluster_harness.h"

namespace jacinthdeck {

namespace {

constexpr Duration kMeetLimit = std::chrono::seconds(120);
constexpr Duration kSpreadLimit = std::chrono::seconds(60);
constexpr Duration kWindow = std::chrono::seconds(5);
//! Announcement, fetch and transfer: three messages, each one step of the
//! harness.
constexpr Duration kRound = 3 * ClusterHarness::kStep;

[[nodiscard]] double Seconds(Duration duration) {
  return ToMilliseconds(duration) / 1000.0;
}

struct Traffic {
  //! Bytes a second, sent and received, of the mean and of the busiest node.
  double mean = 0;
  double most = 0;
};

class DisseminationBench {
 public:
  explicit DisseminationBench(std::size_t nodes)
      : m_nodes(nodes), m_cluster(nodes * 1000 + 13) {
    m_cluster.Start(nodes);
    (void)m_cluster.RunUntil([this] { return AllMet(); }, kMeetLimit);
    m_revision = m_cluster.Configure("first");
    (void)Spread();
  }

  void set_loss(double loss) {
    m_cluster.set_loss(loss);
    m_cluster.Run(std::chrono::seconds(2));
  }

  //! Time until the last node has a change, and until it is accepted.
  void Change(double& last, double& accepted) {
    const TimePoint start = m_cluster.now();
    const std::string operation = "op-" + std::to_string(m_revision.raw());
    const OperatorCallId call =
        m_cluster.Submit(0, operation, m_cluster.RevisionAt(0), operation);
    m_revision = Revision(m_cluster.RevisionAt(0).raw() + 1);
    const auto spread = Spread();
    last = spread ? Seconds(*spread) : -1;
    (void)m_cluster.RunUntil([&] { return m_cluster.ReplyTo(call) != nullptr; },
                             kSpreadLimit);
    const OperatorReply* reply = m_cluster.ReplyTo(call);
    const bool good =
        reply != nullptr && reply->state == ChangeState::kAccepted;
    accepted = good ? Seconds(m_cluster.now() - start) : -1;
  }

  void CutStoreForAllButFirst(bool cut) {
    for (std::size_t index = 1; index < m_nodes; ++index) {
      m_cluster.CutStore(index, cut);
    }
  }

  [[nodiscard]] double StoreCallsPerSecond() {
    const std::uint64_t before = m_cluster.store().calls();
    m_cluster.Run(kWindow);
    return static_cast<double>(m_cluster.store().calls() - before) /
           Seconds(kWindow);
  }

  [[nodiscard]] double MostStoreCallsInASecondAfterOutage() {
    m_cluster.store().faults().down = false;
    std::uint64_t most = 0;
    for (int second = 0; second < 5; ++second) {
      const std::uint64_t before = m_cluster.store().calls();
      m_cluster.Run(std::chrono::seconds(1));
      most = std::max(most, m_cluster.store().calls() - before);
    }
    return static_cast<double>(most);
  }

  [[nodiscard]] Traffic Measure() {
    std::vector<std::uint64_t> before;
    for (std::size_t index = 0; index < m_nodes; ++index) {
      before.push_back(BytesOf(index));
    }
    m_cluster.Run(kWindow);
    Traffic traffic;
    for (std::size_t index = 0; index < m_nodes; ++index) {
      const double bytes = static_cast<double>(BytesOf(index) - before[index]) /
                           Seconds(kWindow);
      traffic.mean += bytes / static_cast<double>(m_nodes);
      traffic.most = std::max(traffic.most, bytes);
    }
    return traffic;
  }

  void StoreDown() {
    m_cluster.store().faults().down = true;
    m_cluster.Run(std::chrono::seconds(5));
  }

  [[nodiscard]] std::size_t Serving() {
    std::size_t serving = 0;
    for (std::size_t index = 0; index < m_nodes; ++index) {
      serving += m_cluster.Serving(index) == ServeState::kServing ? 1U : 0U;
    }
    return serving;
  }

 private:
  [[nodiscard]] bool AllMet() {
    for (std::size_t index = 0; index < m_nodes; ++index) {
      if (m_cluster.node(index).members().alive_count() != m_nodes) {
        return false;
      }
    }
    return true;
  }

  [[nodiscard]] std::optional<Duration> Spread() {
    return m_cluster.RunUntil(
        [this] {
          for (std::size_t index = 0; index < m_nodes; ++index) {
            if (m_cluster.RevisionAt(index) < m_revision) {
              return false;
            }
          }
          return true;
        },
        kSpreadLimit);
  }

  [[nodiscard]] std::uint64_t BytesOf(std::size_t index) {
    const PeerCounters& counters = m_cluster.node(index).counters();
    return counters.bytes_sent + counters.bytes_received;
  }

  std::size_t m_nodes;
  ClusterHarness m_cluster;
  Revision m_revision;
};

void PrintRow(DisseminationBench& bench, std::size_t nodes, double loss) {
  bench.set_loss(loss);
  double last = 0;
  double accepted = 0;
  double peers_last = 0;
  double peers_accepted = 0;
  bench.Change(last, accepted);
  const double store_calls = bench.StoreCallsPerSecond();
  bench.CutStoreForAllButFirst(true);
  bench.Change(peers_last, peers_accepted);
  bench.CutStoreForAllButFirst(false);
  const Traffic steady = bench.Measure();
  bench.StoreDown();
  const Traffic outage = bench.Measure();
  const std::size_t serving = bench.Serving();
  const double herd = bench.MostStoreCallsInASecondAfterOutage();
  std::cout << "| " << nodes << " | " << std::setprecision(0) << loss * 100
            << "% | " << std::setprecision(2) << last << " | " << accepted
            << " | " << peers_last << " | " << std::setprecision(1)
            << peers_last / Seconds(kRound) << " | " << std::setprecision(2)
            << peers_accepted << " | " << std::setprecision(1) << store_calls
            << " | " << std::setprecision(0) << herd << " | " << steady.mean
            << " | " << steady.most << " | " << outage.mean << " | "
            << outage.most << " | " << serving << " |\n"
            << std::flush;
}

}  // namespace

}  // namespace jacinthdeck

int main() {
  std::cout
      << std::fixed
      << "| nodes | loss | last node (s) | accepted (s) | peers only: "
         "last node (s) | rounds | accepted (s) | store calls/s | most in "
         "a second after an outage | B/s a node | busiest | outage: B/s a "
         "node | busiest | serving |\n"
      << "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const std::size_t nodes : {8, 64, 256, 590}) {
    jacinthdeck::DisseminationBench bench(nodes);
    for (const double loss : {0.0, 0.01, 0.05}) {
      jacinthdeck::PrintRow(bench, nodes, loss);
    }
  }
}
