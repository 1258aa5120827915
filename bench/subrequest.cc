// Processor time of a request to a target: kept connections with libcurl multi
// against the ulfius client. Both ends run in this process, so that the figure
// counts them together.
#include <sys/resource.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "jacinthdeck/core/steady_clock.h"
#include "jacinthdeck/platform/http_client.h"
#include "jacinthdeck/runtime/http_server.h"
#include "jacinthdeck/runtime/target_transport.h"

namespace jacinthdeck {
namespace {

constexpr const char* kReply =
    R"({"version":1,"range":[0,4294967296],"hits":[{"id":"a","score":0.5,"data":{"v":1}},{"id":"b","score":0.4,"data":{"v":1}}],"count":2,"load":0.1})";

//! Wall and processor time of the process.
struct Spent {
  double wall = 0;
  double cpu = 0;
};

[[nodiscard]] Spent Now() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
  };
  const auto wall = std::chrono::steady_clock::now().time_since_epoch();
  return Spent{std::chrono::duration<double>(wall).count(),
               seconds(usage.ru_utime) + seconds(usage.ru_stime)};
}

void PrintRow(const std::string& name,
              int calls,
              int in_flight,
              const Spent& from) {
  const Spent to = Now();
  std::cout << "| " << name << " | " << calls << " | " << in_flight << " | "
            << static_cast<int>(calls / (to.wall - from.wall)) << " | "
            << (to.cpu - from.cpu) * 1e6 / calls << " |\n";
}

//! Keeps a number of attempts in flight until all have ended.
class TransportRun {
 public:
  TransportRun(std::vector<Endpoint> targets, int calls, int in_flight)
      : m_targets(std::move(targets)), m_calls(calls), m_in_flight(in_flight) {
    Method method;
    method.name = "Search";
    m_method = std::make_shared<const Method>(method);
  }

  //! Returns how many attempts were answered.
  int Run() {
    for (int i = 0; i < m_in_flight; ++i) {
      Send();
    }
    std::unique_lock lock(m_mutex);
    m_done.wait(lock, [this] { return m_ended == m_calls; });
    return m_answered;
  }

 private:
  void Send() {
    const int number = m_sent++;
    if (number >= m_calls) {
      return;
    }
    TargetSend send;
    send.attempt.attempt = AttemptId(static_cast<std::uint64_t>(number) + 1);
    send.attempt.method = m_method;
    send.attempt.body = m_body;
    send.attempt.range = KeyRange{0, kKeySpaceEnd};
    send.attempt.version = IndexVersion(1);
    send.attempt.deadline = m_clock.Now() + std::chrono::seconds(60);
    send.endpoint =
        m_targets[static_cast<std::size_t>(number) % m_targets.size()];
    send.connections = 64;
    (void)m_transport.TryPush(std::move(send));
  }

  bool OnReply(const AttemptReply& reply) {
    m_answered += reply.status == AttemptStatus::kAnswered ? 1 : 0;
    Send();
    const std::scoped_lock lock(m_mutex);
    if (++m_ended == m_calls) {
      m_done.notify_all();
    }
    return true;
  }

  std::vector<Endpoint> m_targets;
  int m_calls;
  int m_in_flight;
  SteadyClock m_clock;
  std::shared_ptr<const Method> m_method;
  std::shared_ptr<const std::string> m_body =
      std::make_shared<const std::string>(R"({"text":"brown boots"})");
  std::atomic<int> m_sent = 0;
  std::atomic<int> m_answered = 0;
  std::mutex m_mutex;
  std::condition_variable m_done;
  int m_ended = 0;
  TargetTransport m_transport{
      m_clock, 4096, [this](AttemptReply& reply) { return OnReply(reply); }};
};

void RunUlfius(const Endpoint& target, int calls) {
  const HttpClient client(HttpEndpoint{target.address, target.port});
  const Spent from = Now();
  for (int i = 0; i < calls; ++i) {
    (void)Capture([&] {
      return client.Call({.verb = "POST", .path = "/query", .body = "{}"});
    });
  }
  PrintRow("ulfius client, a connection a call", calls, 1, from);
}

int Main(int targets, int calls) {
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < targets; ++i) {
    auto started = Capture([] {
      return HttpServer::Start(Endpoint{"127.0.0.1", 0}, {},
                               [](const HttpRequest&) {
                                 HttpReply reply;
                                 reply.body = kReply;
                                 return reply;
                               });
    });
    if (started.index() == 1) {
      std::cerr << std::get<1>(started).message << "\n";
      return 1;
    }
    servers.push_back(
        std::make_unique<HttpServer>(std::move(std::get<0>(started))));
    endpoints.push_back(Endpoint{"127.0.0.1", servers.back()->port()});
  }
  std::cout << "| client | calls | in flight | calls/s | processor time a "
               "call, both ends, us |\n"
               "|---|---|---|---|---|\n";
  for (const int in_flight : {10, 30, 90, 270}) {
    TransportRun run(endpoints, calls, in_flight);
    const Spent from = Now();
    const int answered = run.Run();
    PrintRow("libcurl multi, kept connections", calls, in_flight, from);
    if (answered != calls) {
      std::cout << "only " << answered << " answered\n";
    }
  }
  RunUlfius(endpoints.front(), calls / 10);
  return 0;
}

}  // namespace
}  // namespace jacinthdeck

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  int targets = 0;
  int calls = 0;
  options::options_description described("Options");
  described.add_options()("help", "print this text")(
      "targets", options::value(&targets)->default_value(30),
      "servers, at most 200")("calls",
                              options::value(&calls)->default_value(20000),
                              "calls in a row, at most 200000");
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, described), given);
  options::notify(given);
  if (given.count("help") != 0 || targets < 1 || targets > 200 || calls < 10 ||
      calls > 200000) {
    std::cout << described;
    return 0;
  }
  return jacinthdeck::Main(targets, calls);
}
