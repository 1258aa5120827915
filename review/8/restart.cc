// Changes a bound in the settings to a fraction, signals the change, kills the
// process once and starts it again with the settings in effect. Requests go on.
#include "../standins-2/loopback.h"

namespace {

using namespace standin;

//! recoveryS of a small deployment.
constexpr int kRecoveryMs = 12'000;
//! Pause before the platform starts a process again that has ended.
constexpr int kRestartDelayMs = 500;
constexpr int kMeasureMs = 5'000;
constexpr int kIntervalMs = 20;

/*! \brief Server of the platform's protocol that runs everything. */
void Serve(Stream& stream) {
  Message request;
  while (stream.Read(request)) {
    const std::string id = request.Find("X-Jacinthdeck-Request-Id");
    if (!stream.Write(Response(200,
                               "X-Jacinthdeck-Request-Id: " + id +
                                   "\r\nX-Jacinthdeck-Server-Stamp: i-0." + id +
                                   ".200\r\n",
                               "done"))) {
      return;
    }
  }
}

/*! \brief Sends requests for a time; returns how many of them in 100 were
 * served. */
[[nodiscard]] int ServedPercent(Record& record,
                                const Daemon& daemon,
                                const std::string& name,
                                int for_ms) {
  int sent = 0;
  int served = 0;
  const auto end = Clock::now() + milliseconds(for_ms);
  while (Clock::now() < end) {
    const std::string id = name + "-" + std::to_string(sent++);
    const auto stream = Stream::Connect(daemon.callers_port());
    Message answer;
    if (stream != nullptr &&
        stream->Write("GET /tickets/1 HTTP/1.1\r\nHost: counter.example\r\n"
                      "X-Jacinthdeck-Request-Id: " +
                      id + "\r\nX-Jacinthdeck-Deadline-Ms: 1000\r\n\r\n") &&
        stream->Read(answer, 1500) && answer.status() == 200) {
      ++served;
    }
    Sleep(kIntervalMs);
  }
  record.Line(name + ": " + std::to_string(served) + " of " +
              std::to_string(sent) + " requests were served");
  return served * 100 / sent;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return kCouldNotRun;
  }
  Record record(argv[1]);
  Store store;
  Listener server(&Serve);
  store.Put("servers/i-0",
            ServerEntry("bench-station", server.port(), "akl-a", 6));
  store.Put("op/config",
            R"({"version":3,"routes":[{"name":"r-1","host":"counter.example",)"
            R"("prefix":"/tickets/","routeType":"idempotent",)"
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
  const int before = ServedPercent(record, daemon, "before", kMeasureMs);
  daemon.SetGrace(HasTrouble() ? "6.5" : "7");
  daemon.WriteSettings();
  daemon.Signal(SIGHUP);
  record.Line("graceS is changed, and the process got SIGHUP");
  const int changed = ServedPercent(record, daemon, "changed", kMeasureMs);
  record.Line("the process is killed");
  daemon.Kill();
  const auto recovered = Clock::now() + milliseconds(kRecoveryMs);
  Sleep(kRestartDelayMs);
  daemon.Start();
  int starts = 1;
  while (Clock::now() < recovered) {
    if (daemon.HasEnded()) {
      record.Line("the process ended by itself with exit code " +
                  std::to_string(daemon.exit_code()));
      Sleep(kRestartDelayMs);
      daemon.Start();
      ++starts;
    }
    Sleep(20);
  }
  const int after = ServedPercent(record, daemon, "after", kMeasureMs);
  record.Line("starts after the kill: " + std::to_string(starts));
  if (before < 90 || changed < 90) {
    End(daemon, kCouldNotRun);
  }
  End(daemon, after < 25 ? kBroken : kHeld);
}
