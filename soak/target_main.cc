// A target of the soak. It answers each request with one record and logs each
// run before it executes it, so that a kill cannot lose a run.
#include <fcntl.h>
#include <jansson.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <stdexcept>
#include <stop_token>
#include <thread>

#include "http/http_server.h"
#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/json.h"
#include "jacinthdeck/http/blocking_client.h"
#include "jacinthdeck/http/status.h"
#include "platform/wire_names.h"
#include "process/process.h"
#include "soak/record.h"
#include "soak/run_line.h"
#include "target/account_headers.h"

namespace jacinthdeck::soak {

namespace {

namespace wire = platform::wire;
using std::chrono::milliseconds;

//! Period at which the target renews its registration.
constexpr milliseconds kRenewalPeriod{1000};
//! Time to live of the registration: three missed renewals and a margin.
constexpr int kRegistrationTtlMs = 3600;
//! A draining target serves for twice the bound within which all entries must
//! stop sending to it, so that a late request is observed.
constexpr milliseconds kDrainDuration{6000};
//! Upper limit of the execution time, which is derived from the request id.
constexpr std::uint64_t kMaxExecutionMs = 60;
//! One in this many requests of the slow route takes a time of this range,
//! longer than what a stopping entry has left after its ports have closed.
constexpr std::uint64_t kSlowOneIn = 4;
constexpr std::uint64_t kMinSlowExecutionMs = 1000;
constexpr std::uint64_t kMaxSlowExecutionMs = 3000;
constexpr Duration kStoreTimeout = std::chrono::seconds(2);
constexpr int kSlots = 8;
//! One in this many answers is lost while the target loses answers.
constexpr std::uint64_t kLostOneIn = 3;

//! Set by SIGUSR1, reset by SIGUSR2.
volatile std::sig_atomic_t loses_answers = 0;

[[nodiscard]] milliseconds ExecutionTimeOf(const std::string& path,
                                           const std::string& id) {
  const std::uint64_t hash = HashOf(id);
  const std::uint64_t slow_hash = hash / kMaxExecutionMs;
  if (!path.starts_with("/slow/") || slow_hash % kSlowOneIn != 0) {
    return milliseconds(hash % kMaxExecutionMs);
  }
  return milliseconds(kMinSlowExecutionMs +
                      slow_hash / kSlowOneIn %
                          (kMaxSlowExecutionMs - kMinSlowExecutionMs));
}

struct TargetOptions {
  std::string id;
  std::string service;
  //! Loopback ports of the store and of the address that entries connect to.
  std::uint16_t store = 0;
  std::uint16_t advertised = 0;
  std::string log;
  //! Failure domain.
  std::string domain = "a";
  std::uint32_t layout = 0;
  std::uint32_t shard = 0;
};

class Target {
 public:
  explicit Target(TargetOptions options)
      : m_options(std::move(options)),
        m_log(open(m_options.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644)),
        m_server({}, [this](const standins::HttpRequest& request) {
          return Handle(request);
        }) {
    if (m_log < 0) {
      throw std::runtime_error("cannot write " + m_options.log);
    }
  }

  [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

  //! Renews the registration until stopped; runs on its own thread.
  void RenewRegistration(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      if (Register() && m_leaving && !m_leaving_confirmed) {
        Write({"leaving", "", "", {}, "", false});
        m_leaving_confirmed = true;
      }
      std::this_thread::sleep_for(kRenewalPeriod / 10);
    }
  }

  void StartLeaving() { m_leaving = true; }
  [[nodiscard]] bool is_leaving_confirmed() const {
    return m_leaving_confirmed;
  }

 private:
  //! Appends one line with a single write(), so that a kill leaves no partial
  //! line.
  void Write(RunLine event) {
    event.target = m_options.id;
    event.at = m_clock.Now();
    const std::string line = Format(event);
    if (write(m_log, line.data(), line.size()) < 0) {
      std::cerr << "cannot log " << line;
    }
  }

  [[nodiscard]] standins::HttpReply NotRun(int status) const {
    return {static_cast<unsigned int>(status),
            "not run",
            false,
            {{std::string(wire::kNotExecuted), "1"}}};
  }

  standins::HttpReply Handle(const standins::HttpRequest& request) {
    const auto id = request.headers.find("x-jacinthdeck-request-id");
    const auto expected = request.headers.find("x-jacinthdeck-expect-instance");
    if (id == request.headers.end()) {
      return NotRun(http_status::kBadRequest);
    }
    if (expected != request.headers.end() && expected->second != m_options.id) {
      return NotRun(http_status::kMisdirected);
    }
    const standins::AccountHeaders headers =
        standins::ReadAccountHeaders(request);
    Write({"run", "", id->second, {}, headers.account, headers.has_key});
    std::this_thread::sleep_for(ExecutionTimeOf(request.path, id->second));
    if (loses_answers != 0 && HashOf(id->second) % kLostOneIn == 0) {
      return standins::DropConnection();
    }
    const Record record{m_options.layout, m_options.shard, HashOf(id->second)};
    return {
        static_cast<unsigned int>(http_status::kOk),
        Encode(record),
        false,
        {{std::string(wire::kRequestId), id->second},
         {std::string(wire::kServerStamp), m_options.id + "." + id->second}}};
  }

  [[nodiscard]] bool Register() {
    const auto now = m_clock.Now();
    if (!m_leaving && now < m_next_renewal) {
      return false;
    }
    m_next_renewal = now + kRenewalPeriod;
    const std::string address =
        "127.0.0.1:" + std::to_string(m_options.advertised);
    const JsonPtr entry(json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:s, s:i}", "service",
        m_options.service.c_str(), "address", address.c_str(), "zone",
        m_options.domain.c_str(), "version", "v1", "slots", kSlots, "state",
        m_leaving ? "draining" : "ready", "coldRemainingMs", 0));
    const std::string key = std::string(wire::kTargetPrefix) + m_options.id;
    const JsonPtr message(
        json_pack("{s:[{s:s, s:s, s:i}]}", "put", "key", key.c_str(), "value",
                  DumpJson(*entry).c_str(), "ttl_ms", kRegistrationTtlMs));
    const ClientReply reply =
        CallAndWait({"127.0.0.1", m_options.store},
                    {"POST", "/control", DumpJson(*message)}, kStoreTimeout);
    return reply.status == http_status::kOk;
  }

  TargetOptions m_options;
  BoottimeClock m_clock;
  const int m_log;
  TimePoint m_next_renewal;
  std::atomic<bool> m_leaving = false;
  std::atomic<bool> m_leaving_confirmed = false;
  //! Declared last, because its handler uses the members above as soon as it is
  //! constructed.
  standins::HttpServer m_server;
};

int Serve(const TargetOptions& options) {
  (void)std::signal(SIGUSR1, [](int) { loses_answers = 1; });
  (void)std::signal(SIGUSR2, [](int) { loses_answers = 0; });
  Target target(options);
  std::jthread renewals([&target](const std::stop_token& stop) {
    target.RenewRegistration(stop);
  });
  standins::ServeUntilSignal(target.port());
  target.StartLeaving();
  while (!target.is_leaving_confirmed()) {
    std::this_thread::sleep_for(kRenewalPeriod / 10);
  }
  std::this_thread::sleep_for(kDrainDuration);
  return 0;
}

}  // namespace

}  // namespace jacinthdeck::soak

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  jacinthdeck::soak::TargetOptions target;
  po::options_description options("Target");
  options.add_options()("id", po::value(&target.id)->required(),
                        "id of this target process")(
      "service", po::value(&target.service)->required(),
      "service that the target serves")("store",
                                        po::value(&target.store)->required(),
                                        "loopback port of the store")(
      "advertised", po::value(&target.advertised)->required(),
      "port that entries connect to")("log", po::value(&target.log)->required(),
                                      "file that runs are appended to")(
      "domain", po::value(&target.domain), "failure domain of the target")(
      "layout", po::value(&target.layout), "layout number in the records")(
      "shard", po::value(&target.shard), "shard number in the records");
  return jacinthdeck::standins::RunServer(
      argc, argv, options,
      [&](std::uint16_t) { return jacinthdeck::soak::Serve(target); });
}
