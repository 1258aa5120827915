// What membership costs and how fast it detects: the real cores, stepped by a
// paused clock in one process. Prints a Markdown table.
#include <sys/resource.h>

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <optional>
#include <vector>

#include "support/cluster_harness.h"

namespace jacinthdeck {

namespace {

constexpr Duration kMeetLimit = std::chrono::seconds(120);
constexpr Duration kSteady = std::chrono::seconds(10);
constexpr Duration kDetectLimit = std::chrono::seconds(60);
constexpr std::size_t kKills = 2;
constexpr std::size_t kLosses = 3;
//! Members whose views are looked at; all of them would cost n squared.
constexpr std::size_t kViewers = 16;

struct Cost {
  double messages = 0;
  double bytes = 0;
  double cpu = 0;
  double accusations = 0;
  std::size_t false_deaths = 0;
};

struct Detection {
  std::vector<double> first;
  std::vector<double> all;
};

[[nodiscard]] double ProcessSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

[[nodiscard]] double Seconds(Duration duration) {
  return ToMilliseconds(duration) / 1000.0;
}

class MembershipBench {
 public:
  explicit MembershipBench(std::size_t nodes)
      : m_nodes(nodes), m_cluster(nodes * 1000 + 7) {
    m_cluster.Start(nodes);
    m_meet = m_cluster.RunUntil([this] { return AllMet(); }, kMeetLimit);
    (void)m_cluster.Configure("bench");
  }

  void set_loss(double loss) { m_cluster.set_loss(loss); }

  [[nodiscard]] std::optional<Duration> meet() const { return m_meet; }

  [[nodiscard]] Cost Steady() {
    const PeerCounters before = Total();
    const std::uint64_t refuted = Refutations();
    const double cpu = ProcessSeconds();
    Cost cost;
    for (int second = 0; second < Seconds(kSteady); ++second) {
      m_cluster.Run(std::chrono::seconds(1));
      cost.false_deaths += SeenDead();
    }
    const double scale =
        static_cast<double>(m_nodes - m_killed) * Seconds(kSteady);
    cost.cpu = (ProcessSeconds() - cpu) / scale;
    const PeerCounters after = Total();
    cost.messages =
        static_cast<double>(after.messages_sent - before.messages_sent) / scale;
    cost.bytes =
        static_cast<double>(after.bytes_sent - before.bytes_sent) / scale;
    cost.accusations = static_cast<double>(Refutations() - refuted);
    return cost;
  }

  [[nodiscard]] Detection Detect() {
    Detection detection;
    for (std::size_t kill = 0; kill < kKills; ++kill) {
      const std::size_t victim = m_nodes - ++m_killed;
      const TimePoint start = m_cluster.now();
      m_cluster.Kill(victim);
      (void)m_cluster.RunUntil([&] { return DeathsOf(victim) > 0; },
                               kDetectLimit);
      detection.first.push_back(Seconds(m_cluster.now() - start));
      (void)m_cluster.RunUntil([&] { return DeathsOf(victim) == Viewers(); },
                               kDetectLimit);
      detection.all.push_back(Seconds(m_cluster.now() - start));
    }
    return detection;
  }

 private:
  [[nodiscard]] std::size_t Viewers() const {
    return std::min(kViewers, m_nodes - kKills * kLosses);
  }

  [[nodiscard]] bool AllMet() {
    for (std::size_t index = 0; index < m_nodes; ++index) {
      if (m_cluster.node(index).members().alive_count() != m_nodes) {
        return false;
      }
    }
    return true;
  }

  [[nodiscard]] std::size_t DeathsOf(std::size_t subject) {
    std::size_t deaths = 0;
    for (std::size_t viewer = 0; viewer < Viewers(); ++viewer) {
      deaths += m_cluster.Sees(viewer, subject) == MemberState::kDead ? 1 : 0;
    }
    return deaths;
  }

  [[nodiscard]] std::size_t SeenDead() {
    std::size_t seen = 0;
    for (std::size_t subject = 0; subject < m_nodes - m_killed; ++subject) {
      seen += DeathsOf(subject);
    }
    return seen;
  }

  [[nodiscard]] PeerCounters Total() {
    PeerCounters total;
    for (std::size_t index = 0; index < m_nodes - m_killed; ++index) {
      const PeerCounters& one = m_cluster.node(index).counters();
      total.messages_sent += one.messages_sent;
      total.bytes_sent += one.bytes_sent;
    }
    return total;
  }

  //! Every accusation that reaches its subject raises its refutation.
  [[nodiscard]] std::uint64_t Refutations() {
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < m_nodes - m_killed; ++index) {
      total += m_cluster.node(index).members().SelfUpdate().refutation;
    }
    return total;
  }

  std::size_t m_nodes;
  //! The last nodes are killed first.
  std::size_t m_killed = 0;
  ClusterHarness m_cluster;
  std::optional<Duration> m_meet;
};

[[nodiscard]] double Largest(const std::vector<double>& values) {
  return *std::max_element(values.begin(), values.end());
}

void PrintRow(MembershipBench& bench, std::size_t nodes, double loss) {
  bench.set_loss(loss);
  const Cost cost = bench.Steady();
  const Detection detection = bench.Detect();
  std::cout << "| " << nodes << " | " << std::setprecision(0) << loss * 100
            << "% | " << std::setprecision(1)
            << (bench.meet() ? Seconds(*bench.meet()) : -1.0) << " | "
            << cost.messages << " | " << std::setprecision(0) << cost.bytes
            << " | " << cost.cpu * 1e6 << " | " << std::setprecision(1)
            << Largest(detection.first) << " | " << Largest(detection.all)
            << " | " << std::setprecision(0) << cost.accusations << " | "
            << cost.false_deaths << " |\n"
            << std::flush;
}

}  // namespace

}  // namespace jacinthdeck

int main() {
  std::cout << std::fixed
            << "| nodes | loss | met (s) | messages/s sent a node | bytes/s "
               "sent a node | CPU us/s a node | first sees death (s) | all see "
               "death (s) | false accusations in 10 s | false deaths seen |\n"
            << "|---|---|---|---|---|---|---|---|---|---|\n";
  for (const std::size_t nodes : {8, 64, 256, 590}) {
    jacinthdeck::MembershipBench bench(nodes);
    for (const double loss : {0.0, 0.01, 0.05}) {
      jacinthdeck::PrintRow(bench, nodes, loss);
    }
  }
}
