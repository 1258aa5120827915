// A rolling restart. Each host is told that its settings have changed and is
// stopped right after that. Where the stop is missed, the host goes on until it
// is killed at the end of its grace period, and requests that it has passed on
// are cut off.
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <random>

#include "harness.h"

namespace {

using review::Record;

constexpr int kHosts = 4;
constexpr int kClients = 24;
constexpr int kServers = 4;
constexpr int kSlots = 6;
constexpr double kWorkMs = 100;
constexpr double kGraceMs = 6000;
constexpr int kBudgetMs = 6000;

//! A server with more slots than it needs.
class Server {
 public:
  explicit Server(std::string id)
      : m_id(std::move(id)),
        m_listener(0, [this](const std::shared_ptr<review::Stream>& stream) {
          Serve(*stream);
        }) {}

  [[nodiscard]] review::ServerEntry entry() const {
    return {.id = m_id,
            .service = "orders",
            .zone = "z-a",
            .port = m_listener.port(),
            .slots = kSlots};
  }
  bool HasRun(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    return m_runs.contains(id);
  }

 private:
  void Serve(review::Stream& stream) {
    review::Message request;
    while (stream.Read(request, 600000)) {
      const std::string id = request.Find("X-Jacinthdeck-Request-Id");
      if (request.Find("X-Jacinthdeck-Expect-Instance") != m_id) {
        stream.Write(review::Response(421, id, "", ""));
        continue;
      }
      {
        const std::lock_guard lock(m_mutex);
        ++m_runs[id];
      }
      Record("%s runs %s", m_id.c_str(), id.c_str());
      review::SleepMs(kWorkMs);
      if (!stream.Write(review::Response(200, id,
                                         "X-Jacinthdeck-Server-Stamp: " +
                                             review::StampOf(m_id, id) + "\r\n",
                                         "done " + id))) {
        return;
      }
    }
  }

  const std::string m_id;
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;
  review::Listener m_listener;
};

//! A request whose connection ended without a complete answer.
struct Cut {
  std::string id;
  std::uint16_t front = 0;
  double sent_ms = 0;
  double cut_ms = 0;
};

//! Each client asks the directory once a second, and sends one request after
//! the other, each on a new connection.
class Clients {
 public:
  explicit Clients(std::vector<review::Host*> hosts)
      : m_hosts(std::move(hosts)) {
    for (int client = 0; client < kClients; ++client) {
      m_threads.emplace_back([this, client] { Run(client); });
    }
  }

  void Stop() {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  [[nodiscard]] const std::vector<Cut>& cuts() const { return m_cuts; }
  [[nodiscard]] int succeeded() const { return m_succeeded; }

 private:
  void Run(int client) {
    std::mt19937 random(static_cast<unsigned>(client));
    std::vector<std::uint16_t> fronts;
    double resolved_ms = -1e9;
    for (int number = 0; !m_stop; ++number) {
      if (review::NowMs() - resolved_ms > 1000) {
        for (int attempt = 0; attempt < 3; ++attempt) {
          const auto named = m_hosts[random() % m_hosts.size()]->Resolve();
          if (!named.empty()) {
            fronts = named;
            resolved_ms = review::NowMs();
            break;
          }
        }
      }
      if (fronts.empty()) {
        review::SleepMs(20);
        continue;
      }
      const std::uint16_t front = fronts[random() % fronts.size()];
      const std::string id =
          "order" + std::to_string(client) + "." + std::to_string(number);
      const auto stream = review::Connect(front, 1000);
      if (stream == nullptr) {
        Record("client: %s refused by port %u", id.c_str(), front);
        std::erase(fronts, front);
        continue;
      }
      const double sent = review::NowMs();
      const review::Answer answer =
          review::Ask(*stream, "POST", "/orders/new", "shop.example", id,
                      kBudgetMs, "order");
      Record("client: %s sent to port %u at %.1f answered %d", id.c_str(),
             front, sent, answer.status);
      m_succeeded += answer.status == 200 ? 1 : 0;
      if (answer.status == 0 && !answer.timed_out) {
        const std::lock_guard lock(m_mutex);
        m_cuts.push_back({id, front, sent, review::NowMs()});
      }
      review::SleepMs(10);
    }
  }

  const std::vector<review::Host*> m_hosts;
  std::atomic<bool> m_stop = false;
  std::atomic<int> m_succeeded = 0;
  std::mutex m_mutex;
  std::vector<Cut> m_cuts;
  std::vector<std::thread> m_threads;
};

}  // namespace

int main(int /*argc*/, char** argv) {
  review::OpenRecord(argv[1]);
  review::Store store;
  store.Put("op/config",
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":"
            "\"shop.example\",\"prefix\":\"/orders/\",\"routeType\":"
            "\"non_idempotent\",\"timeoutMs\":6000,\"targetLatencyMs\":400,"
            "\"priority\":2,\"service\":\"orders\",\"maxAttempts\":2}],"
            "\"services\":[{\"name\":\"orders\",\"healthPath\":\"/health\","
            "\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  review::Registry registry(store);
  std::vector<std::unique_ptr<Server>> servers;
  for (int server = 0; server < kServers; ++server) {
    servers.push_back(
        std::make_unique<Server>("i-" + std::to_string(server) + "a"));
    registry.Add(servers.back()->entry());
  }
  std::vector<std::unique_ptr<review::Host>> hosts;
  std::vector<review::Host*> pointers;
  std::vector<std::string> seeds;
  for (int host = 0; host < kHosts; ++host) {
    hosts.push_back(std::make_unique<review::Host>(
        "front-" + std::to_string(host), host % 2 == 0 ? "z-a" : "z-b",
        store.port(), seeds));
    if (seeds.size() < 3) {
      seeds.push_back(hosts.back()->seed());
    }
    hosts.back()->Start();
    pointers.push_back(hosts.back().get());
  }
  for (const auto& host : hosts) {
    if (!review::WaitFor(15000, [&] { return host->IsReady(); })) {
      review::CannotRun("a host is not ready");
    }
  }
  review::SleepMs(2000);
  Clients clients(pointers);
  review::SleepMs(4000);

  std::map<std::uint16_t, std::pair<double, double>> stop_of;
  int ready_late = 0;
  int killed = 0;
  for (const auto& host : hosts) {
    if (review::Trouble()) {
      host->Signal(SIGHUP);
    }
    host->Signal(SIGTERM);
    const double stopped = review::NowMs();
    Record("%s (port %u): %sSIGTERM", host->name().c_str(), host->front(),
           review::Trouble() ? "SIGHUP, " : "");
    review::WaitFor(4000, [&] { return host->HasEnded(); });
    if (!host->HasEnded() && host->IsReady()) {
      ++ready_late;
      Record("%s still answers 200 to its ready check after 4 s",
             host->name().c_str());
    }
    if (!review::WaitFor(stopped + kGraceMs - review::NowMs(),
                         [&] { return host->HasEnded(); })) {
      ++killed;
      host->Signal(SIGKILL);
      Record("%s: SIGKILL at the end of the grace period",
             host->name().c_str());
      review::WaitFor(1000, [&] { return host->HasEnded(); });
    }
    Record("%s has ended", host->name().c_str());
    stop_of[host->front()] = {stopped, review::NowMs()};
    review::SleepMs(500);
    host->Start();
    if (!review::WaitFor(5000, [&] { return host->IsReady(); })) {
      review::CannotRun("a host is not ready again");
    }
    review::SleepMs(4500);
  }
  clients.Stop();

  int lost = 0;
  for (const Cut& cut : clients.cuts()) {
    bool ran = false;
    for (const auto& server : servers) {
      ran = ran || server->HasRun(cut.id);
    }
    const auto stop = stop_of.find(cut.front);
    const double after =
        stop == stop_of.end() || stop->second.first > cut.cut_ms
            ? -1
            : cut.sent_ms - stop->second.first;
    // Work of requests that were sent within 3 s of the SIGTERM is excused in
    // the last sixth of the grace period.
    const bool planned = stop != stop_of.end() &&
                         cut.cut_ms >= stop->second.first &&
                         cut.cut_ms <= stop->second.first + kGraceMs + 1000;
    const bool excused =
        after <= 3000 && cut.cut_ms - stop->second.first >= kGraceMs * 5 / 6;
    Record("cut: %s sent %.0f ms after the SIGTERM, cut %.0f ms later, %s%s",
           cut.id.c_str(), after, cut.cut_ms - cut.sent_ms,
           ran ? "passed on to a server" : "not passed on",
           excused ? ", excused" : "");
    lost += planned && ran && !excused ? 1 : 0;
  }
  Record(
      "%d succeeded, %zu cut; LOST: %d; hosts ready 4 s after SIGTERM: %d; "
      "killed: %d",
      clients.succeeded(), clients.cuts().size(), lost, ready_late, killed);
  std::printf("%d lost, %d hosts missed the SIGTERM\n", lost, ready_late);
  std::fflush(stdout);
  for (const auto& host : hosts) {
    host->Signal(SIGKILL);
    review::WaitFor(1000, [&] { return host->HasEnded(); });
  }
  std::_Exit(clients.succeeded() == 0 ? 2 : lost > 0 ? 1 : 0);
}
