// More requests come than two servers can hold, so they shed some of them. A
// request that may run once is then sent again, at times to the same server on
// the same connection. A late second copy of the first response is taken there
// for the response to the second sending.
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <random>

#include "harness.h"

namespace {

using review::Record;

constexpr int kHosts = 4;
constexpr int kClients = 16;
constexpr double kWarmUpMs = 2000;
//! How long one of the two servers adds late copies, and to how many of its
//! answers: one in this many.
constexpr double kGarbleMs = 5000;
constexpr int kAnswersPerExtra = 25;
constexpr int kSlots = 2;
constexpr int kQueue = 2;
constexpr double kWorkMs = 2;

//! A server with slots and a short queue. It sheds what exceeds both.
class Server {
 public:
  Server(std::string id, bool garbles)
      : m_id(std::move(id)),
        m_garbles(garbles),
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

  //! From now on the server adds late copies, for kGarbleMs.
  void StartGarble() {
    m_garble_until = m_garbles ? review::NowMs() + kGarbleMs : 0;
  }
  //! Runs of each request id.
  std::map<std::string, int> runs() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }
  [[nodiscard]] int garble_answers() const { return m_garble_answers; }
  [[nodiscard]] int extras() const { return m_extras; }
  [[nodiscard]] int sheds() const { return m_sheds; }

 private:
  void Serve(review::Stream& stream) {
    review::Message request;
    std::string last_id;
    std::string last_shed;
    while (stream.Read(request, 600000)) {
      const std::string id = request.Find("X-Jacinthdeck-Request-Id");
      if (!last_shed.empty() && id == last_id && MayCopy()) {
        // It arrives where the response to this request is expected.
        Record("%s sends a second copy of its last response", m_id.c_str());
        stream.Write(last_shed);
      }
      last_shed.clear();
      if (request.Find("X-Jacinthdeck-Expect-Instance") != m_id) {
        stream.Write(review::Response(421, id, "", ""));
        continue;
      }
      const std::string response = Run(id);
      m_garble_answers += review::NowMs() < m_garble_until ? 1 : 0;
      if (response.find("X-Jacinthdeck-Not-Executed") != response.npos) {
        last_id = id;
        last_shed = response;
      }
      stream.Write(response);
    }
  }

  //! Returns whether one more answer may get a late copy.
  bool MayCopy() {
    const std::lock_guard lock(m_mutex);
    if (!review::Trouble() || review::NowMs() >= m_garble_until ||
        (m_extras + 1) * kAnswersPerExtra > m_garble_answers) {
      return false;
    }
    ++m_extras;
    return true;
  }

  std::string Run(const std::string& id) {
    std::unique_lock lock(m_mutex);
    if (m_running >= kSlots && m_queued >= kQueue) {
      ++m_sheds;
      Record("%s sheds %s", m_id.c_str(), id.c_str());
      return review::Response(503, id, "X-Jacinthdeck-Not-Executed: 1\r\n", "");
    }
    ++m_queued;
    m_changed.wait(lock, [&] { return m_running < kSlots; });
    --m_queued;
    ++m_running;
    const int run = ++m_runs[id];
    Record("%s runs %s, run %d", m_id.c_str(), id.c_str(), run);
    const double work = kWorkMs * (0.5 + m_unit(m_random));
    lock.unlock();
    review::SleepMs(work);
    lock.lock();
    --m_running;
    m_changed.notify_all();
    return review::Response(
        200, id,
        "X-Jacinthdeck-Server-Stamp: " + review::StampOf(m_id, id) + "\r\n",
        "done " + id);
  }

  const std::string m_id;
  const bool m_garbles;
  std::atomic<double> m_garble_until = 0;
  std::atomic<int> m_garble_answers = 0;
  std::atomic<int> m_extras = 0;
  std::atomic<int> m_sheds = 0;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_running = 0;
  int m_queued = 0;
  std::map<std::string, int> m_runs;
  std::mt19937 m_random{7};
  std::uniform_real_distribution<double> m_unit{0, 1};
  review::Listener m_listener;
};

//! Sends one request after the other, each once, and waits as long as it is
//! told to where one is refused.
class Clients {
 public:
  explicit Clients(const std::vector<std::uint16_t>& fronts)
      : m_fronts(fronts) {
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
  //! Status of the answer to each request.
  [[nodiscard]] const std::map<std::string, int>& answers() const {
    return m_answers;
  }

 private:
  void Run(int client) {
    std::mt19937 random(static_cast<unsigned>(client));
    for (int number = 0; !m_stop; ++number) {
      const std::string id =
          "order" + std::to_string(client) + "." + std::to_string(number);
      const auto stream =
          review::Connect(m_fronts[random() % m_fronts.size()], 1000);
      if (stream == nullptr) {
        continue;
      }
      const review::Answer answer = review::Ask(
          *stream, "POST", "/orders/new", "shop.example", id, 6000, "order");
      Record("client: %s answered %d", id.c_str(), answer.status);
      {
        const std::lock_guard lock(m_mutex);
        m_answers[id] = answer.status;
      }
      const double wait =
          1000 * std::atof(answer.message.Find("Retry-After").c_str());
      review::SleepMs(std::min(wait, 20.0));
    }
  }

  const std::vector<std::uint16_t> m_fronts;
  std::atomic<bool> m_stop = false;
  std::mutex m_mutex;
  std::map<std::string, int> m_answers;
  std::vector<std::thread> m_threads;
};

}  // namespace

int main(int /*argc*/, char** argv) {
  review::OpenRecord(argv[1]);
  review::Store store;
  Server faulty("i-1a", true);
  Server sound("i-2a", false);
  store.Put("op/config",
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":"
            "\"shop.example\",\"prefix\":\"/orders/\",\"routeType\":"
            "\"non_idempotent\",\"timeoutMs\":6000,\"targetLatencyMs\":400,"
            "\"priority\":2,\"service\":\"orders\",\"maxAttempts\":2}],"
            "\"services\":[{\"name\":\"orders\",\"healthPath\":\"/health\","
            "\"maxConnections\":36,\"protocol\":\"h1\",\"tls\":false}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  review::Registry registry(store);
  registry.Add(faulty.entry());
  registry.Add(sound.entry());
  std::vector<std::unique_ptr<review::Host>> hosts;
  std::vector<std::uint16_t> fronts;
  for (int host = 0; host < kHosts; ++host) {
    hosts.push_back(std::make_unique<review::Host>(
        "front-" + std::to_string(host), host % 2 == 0 ? "z-a" : "z-b",
        store.port(), std::vector<std::string>()));
    hosts.back()->Start();
    fronts.push_back(hosts.back()->front());
  }
  for (const auto& host : hosts) {
    if (!review::WaitFor(15000, [&] { return host->IsReady(); })) {
      review::CannotRun("a host is not ready");
    }
  }
  Clients clients(fronts);
  review::SleepMs(kWarmUpMs);
  Record("the trouble begins");
  faulty.StartGarble();
  review::SleepMs(kGarbleMs);
  Record("the trouble has ended");
  review::SleepMs(500);
  clients.Stop();
  review::SleepMs(500);

  std::map<std::string, int> runs = faulty.runs();
  for (const auto& [id, count] : sound.runs()) {
    runs[id] += count;
  }
  int twice = 0;
  int ran_though_refused = 0;
  int succeeded = 0;
  for (const auto& [id, status] : clients.answers()) {
    succeeded += status == 200 ? 1 : 0;
    const int count = runs[id];
    if (count > 1) {
      ++twice;
      Record("TWICE: %s ran %d times, answered %d", id.c_str(), count, status);
    }
    if (count > 0 && (status == 503 || status == 429)) {
      ++ran_though_refused;
      Record("REFUSED: %s ran and was answered %d", id.c_str(), status);
    }
  }
  Record(
      "%zu requests, %d succeeded; servers shed %d and %d; the faulty one gave "
      "%d answers in its %.0f ms, %d with a late copy",
      clients.answers().size(), succeeded, faulty.sheds(), sound.sheds(),
      faulty.garble_answers(), kGarbleMs, faulty.extras());
  Record("%d ran twice, %d ran though refused", twice, ran_though_refused);
  std::printf("%d ran twice, %d ran though refused\n", twice,
              ran_though_refused);
  std::fflush(stdout);
  for (const auto& host : hosts) {
    host->Signal(SIGKILL);
    review::WaitFor(1000, [&] { return host->HasEnded(); });
  }
  const bool broken = twice + ran_though_refused > 0;
  std::_Exit(succeeded == 0 ? 2 : broken ? 1 : 0);
}
