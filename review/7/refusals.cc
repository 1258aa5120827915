// Sends requests that may run once while one of eight servers fails a part of
// those that it runs, and looks for answers that promise "not run" to requests
// that a server has run.
#include "../standins-2/loopback.h"

namespace {

using namespace standin;

//! Share of its requests that the server at fault fails after it has run them,
//! in percent.
constexpr int kFailPercent = 40;
constexpr int kServers = 8;
constexpr int kClients = 30;
constexpr int kRequests = 100;

/*! \brief Ids of the requests that servers have run. */
class Runs {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    m_ids.insert(id);
  }
  [[nodiscard]] bool Contains(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    return m_ids.contains(id);
  }

 private:
  std::mutex m_mutex;
  std::set<std::string> m_ids;
};

/*! \brief Server of the platform's protocol. */
class Server {
 public:
  Server(Record& record, Runs& runs, std::string id, bool at_fault)
      : m_record(record),
        m_runs(runs),
        m_id(std::move(id)),
        m_at_fault(at_fault),
        m_listener([this](Stream& stream) { Serve(stream); }) {}

  [[nodiscard]] int port() const { return m_listener.port(); }
  [[nodiscard]] const std::string& id() const { return m_id; }
  [[nodiscard]] int failed() const { return m_failed; }

 private:
  void Serve(Stream& stream) {
    Message request;
    while (stream.Read(request)) {
      const std::string id = request.Find("X-Jacinthdeck-Request-Id");
      const std::string echo = "X-Jacinthdeck-Request-Id: " + id + "\r\n";
      if (id.empty() || request.Find("X-Jacinthdeck-Expect-Instance") != m_id) {
        if (!stream.Write(Response(id.empty() ? 400 : 421,
                                   echo + "X-Jacinthdeck-Not-Executed: 1\r\n",
                                   ""))) {
          return;
        }
        continue;
      }
      const bool fails =
          m_at_fault && ++m_requests * kFailPercent % 100 < kFailPercent;
      m_failed += fails ? 1 : 0;
      m_runs.Add(id);
      Sleep(20);
      const int status = fails ? 503 : 200;
      m_record.Line(m_id + " has run " + id + " and answers " +
                    std::to_string(status) +
                    (fails ? " without X-Jacinthdeck-Not-Executed" : ""));
      if (!stream.Write(Response(status,
                                 echo + "X-Jacinthdeck-Server-Stamp: " + m_id +
                                     "." + id + "." + std::to_string(status) +
                                     "\r\nX-Jacinthdeck-Server-Load: 1,0,6\r\n",
                                 fails ? "failed" : "done"))) {
        return;
      }
    }
  }

  Record& m_record;
  Runs& m_runs;
  const std::string m_id;
  const bool m_at_fault;
  std::atomic<int> m_requests = 0;
  std::atomic<int> m_failed = 0;
  Listener m_listener;
};

struct Counts {
  std::atomic<int> served = 0;
  std::atomic<int> broken = 0;
};

void SendRequests(Record& record,
                  Runs& runs,
                  int port,
                  int client,
                  Counts& counts) {
  std::unique_ptr<Stream> stream;
  for (int i = 0; i < kRequests; ++i) {
    if (stream == nullptr) {
      stream = Stream::Connect(port);
    }
    const std::string id =
        "c" + std::to_string(client) + "-" + std::to_string(i);
    Message answer;
    if (stream == nullptr ||
        !stream->Write("POST /tickets/claim HTTP/1.1\r\nHost: counter.example"
                       "\r\nX-Jacinthdeck-Request-Id: " +
                       id +
                       "\r\nX-Jacinthdeck-Deadline-Ms: 2000\r\n"
                       "Content-Length: 5\r\n\r\nclaim") ||
        !stream->Read(answer, 4000)) {
      record.Line("no answer to " + id);
      stream.reset();
      continue;
    }
    const int status = answer.status();
    counts.served += status == 200 ? 1 : 0;
    const bool promises =
        status == 408 || status == 421 || status == 429 || status == 503;
    if (promises && runs.Contains(id)) {
      ++counts.broken;
      record.Line("BROKEN: the client gets " + std::to_string(status) +
                  " for " + id + ", which a server has run");
    }
    Sleep(3);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  Record record(argv[1]);
  const bool trouble = HasTrouble();
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>(
        record, runs, "i-" + std::to_string(i), trouble && i == 0));
    store.Put("servers/" + servers.back()->id(),
              ServerEntry("bench-station", servers.back()->port(), "akl-a", 6));
  }
  store.Put("op/config",
            R"({"version":3,"routes":[{"name":"r-1","host":"counter.example",)"
            R"("prefix":"/tickets/","routeType":"non_idempotent",)"
            R"("service":"bench-station","maxAttempts":3,"timeoutMs":6000,)"
            R"("targetLatencyMs":600,"priority":2}],)"
            R"("services":[{"name":"bench-station","maxConnections":96,)"
            R"("healthPath":"/health"}],"limits":{"maxHeaderBytes":16384,)"
            R"("maxBodyBytes":262144,"headerTimeoutMs":5000,)"
            R"("idleTimeoutMs":10000}})");
  Daemon daemon(argv[2], "frontend-akl-a-1", store.port());
  daemon.WriteSettings();
  daemon.Start();
  if (!daemon.WaitReady(20'000)) {
    record.Line("the entry process is not ready");
    End(daemon, kCouldNotRun);
  }
  Counts counts;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      SendRequests(record, runs, daemon.callers_port(), client, counts);
    });
  }
  std::ranges::for_each(clients, &std::thread::join);
  const int failed = servers.front()->failed();
  record.Line(
      "trouble " + std::to_string(trouble) + ", failed after the run " +
      std::to_string(failed) + ", served " + std::to_string(counts.served) +
      ", promised \"not run\" wrongly " + std::to_string(counts.broken));
  if (counts.served < kClients * kRequests / 2 || (trouble && failed == 0)) {
    End(daemon, kCouldNotRun);
  }
  End(daemon, counts.broken > 0 ? kBroken : kHeld);
}
