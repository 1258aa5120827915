// One entry process.
#include "jacinthdeck/runtime/daemon.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "jacinthdeck/core/steady_clock.h"
#include "jacinthdeck/peer/peer_transport.h"
#include "jacinthdeck/platform/http_host_list_client.h"
#include "jacinthdeck/platform/http_store_client.h"
#include "jacinthdeck/runtime/caller_edge.h"
#include "jacinthdeck/runtime/decision_client.h"
#include "jacinthdeck/runtime/decision_loop.h"
#include "jacinthdeck/runtime/http_server.h"
#include "jacinthdeck/runtime/log.h"
#include "jacinthdeck/runtime/operator_edge.h"
#include "jacinthdeck/runtime/platform_pollers.h"
#include "jacinthdeck/runtime/published.h"
#include "jacinthdeck/runtime/store_worker.h"
#include "jacinthdeck/runtime/target_transport.h"

namespace jacinthdeck {

namespace {

//! Between two looks at the calls in flight during a shutdown.
constexpr auto kDrainStep = std::chrono::milliseconds(20);
constexpr auto kAskWait = std::chrono::milliseconds(500);
//! A configuration of 1 MiB, escaped.
constexpr std::size_t kOperatorBodyBytes = std::size_t{3} << 20U;
constexpr unsigned kOperatorConnections = 64;
//! Longer than eight entries take to meet (0.3 s in bench_membership); until
//! then the others' shares of a target's connections still count without this
//! entry.
constexpr Duration kNewcomerHold = std::chrono::seconds(2);

// Hosts keep nothing, so a life is told from former ones by the wall clock; the
// member records at the store fence a node whose clock went back.
[[nodiscard]] Incarnation NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count()));
}

[[nodiscard]] HttpEndpoint ToHttp(const Endpoint& endpoint) {
  return HttpEndpoint{endpoint.address, endpoint.port};
}

}  // namespace

class Daemon::State final : public DecisionPorts {
 public:
  explicit State(const Settings& settings)
      : m_settings(settings),
        m_incarnation(NewIncarnation()),
        m_loop(m_clock, settings.limits.queue),
        m_callers(m_clock,
                  m_loop,
                  m_schema,
                  m_metrics,
                  std::min(settings.limits.open_calls,
                           settings.limits.caller_connections)),
        m_operators(m_loop, m_metrics, [this] { m_drain_requested = true; }),
        m_store(ToHttp(settings.platform.store), settings.platform.timeout),
        m_hosts(ToHttp(settings.platform.host_list),
                settings.platform.timeout) {}

  ~State() override { StopThreads(); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  [[nodiscard]] Result<void> Start() {
    BOOST_LEAF_CHECK(OpenPorts());
    m_targets.emplace(m_clock, m_settings.limits.queue,
                      [this](AttemptReply& reply) {
                        DecisionEvent event = std::move(reply);
                        if (m_loop.TryPush(event)) {
                          return true;
                        }
                        reply = std::move(std::get<AttemptReply>(event));
                        return false;
                      });
    m_store_worker.emplace(m_store, [this](StoreReply reply) {
      PushStoreReply(std::move(reply));
    });
    m_loop.Start(MakeCore());
    m_pollers.emplace(m_store, m_hosts, m_loop, m_incarnation.raw());
    return {};
  }

  [[nodiscard]] DaemonPorts ports() const noexcept {
    return DaemonPorts{m_caller_server->port(), m_operator_server->port(),
                       m_peers->port()};
  }

  [[nodiscard]] bool drain_requested() const noexcept {
    return m_drain_requested.load();
  }

  void Drain() {
    (void)Ask(m_loop, kAskWait, [](DecisionCore& core, TimePoint /*now*/) {
      core.Drain();
      return true;
    });
    const TimePoint started = m_clock.Now();
    // Callers keep an address answer for its time to live. Who comes within it
    // is told "not run" and goes elsewhere; a closed port would look like a
    // failure of unknown outcome.
    const TimePoint listen_until = started + ClusterOptions().entry_ttl;
    const TimePoint give_up = started + m_settings.drain_timeout;
    while (m_clock.Now() < give_up &&
           (m_clock.Now() < listen_until || m_callers.open() > 0)) {
      std::this_thread::sleep_for(kDrainStep);
    }
    m_caller_server->StopListening();
    while (m_clock.Now() < give_up && m_callers.open() > 0) {
      std::this_thread::sleep_for(kDrainStep);
    }
    Log(Severity::kInfo, "drained",
        {{"open", std::to_string(m_callers.open())}});
  }

  [[nodiscard]] bool ToTarget(TargetCommand command) override {
    return m_targets->TryPush(std::move(command));
  }
  void ToPeer(const PeerSend& send) override { m_peers->Send(send); }
  [[nodiscard]] bool ToStore(const StoreRequest& request) override {
    return m_store_worker->TryPush(request);
  }
  void Publish(std::shared_ptr<const Schema> schema) override {
    Log(Severity::kInfo, "configuration in force",
        {{"readable", schema == nullptr ? "no" : "yes"}});
    m_schema.Set(std::move(schema));
  }

 private:
  [[nodiscard]] Result<void> OpenPorts() {
    const ListenSettings& listen = m_settings.listen;
    BOOST_LEAF_AUTO(
        peers, PeerTransport::Start(listen.peers.address, listen.peers.port,
                                    [this](Envelope&& envelope) {
                                      DecisionEvent event = std::move(envelope);
                                      return m_loop.TryPush(event);
                                    }));
    m_peers.emplace(std::move(peers));
    HttpServerOptions callers;
    callers.body_bytes = m_settings.limits.body_bytes;
    // A connection beyond the server's own limit is closed without a word, and
    // its caller cannot tell whether its request ran. So the edge refuses in
    // words well before that.
    callers.connections = 2 * m_settings.limits.caller_connections;
    BOOST_LEAF_AUTO(caller_server,
                    HttpServer::Start(listen.callers, callers,
                                      [this](const HttpRequest& request) {
                                        return m_callers.Handle(request);
                                      }));
    m_caller_server.emplace(std::move(caller_server));
    HttpServerOptions operators;
    operators.body_bytes = kOperatorBodyBytes;
    operators.connections = kOperatorConnections;
    BOOST_LEAF_AUTO(operator_server,
                    HttpServer::Start(listen.operators, operators,
                                      [this](const HttpRequest& request) {
                                        return m_operators.Handle(request);
                                      }));
    m_operator_server.emplace(std::move(operator_server));
    return {};
  }

  [[nodiscard]] std::unique_ptr<DecisionCore> MakeCore() {
    DecisionOptions options;
    options.self.node = m_settings.node.name;
    options.self.incarnation = m_incarnation;
    options.self.domain = m_settings.node.failure_domain;
    options.self.address = MemberAddress{m_settings.listen.peers.address,
                                         ports().peers, ports().callers};
    options.seed = m_incarnation.raw();
    options.router.newcomer_hold = kNewcomerHold;
    auto core = std::make_unique<DecisionCore>(options, m_clock, *this);
    core->AddSeeds(m_settings.seeds);
    return core;
  }

  // The end of a store call must not get lost: its part of the core would wait
  // for it for ever.
  void PushStoreReply(StoreReply reply) {
    DecisionEvent event = std::move(reply);
    while (!m_loop.TryPush(event) && !m_stopping) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  void StopThreads() {
    m_stopping = true;
    m_caller_server.reset();
    m_operator_server.reset();
    m_pollers.reset();
    // The decision thread sends to peers, targets and store. Were it stopped
    // after them, a timer that falls due in between would use a transport that
    // is gone: a daemon that is shut down would crash now and then.
    m_loop.Stop();
    m_store_worker.reset();
    m_peers.reset();
    m_targets.reset();
  }

  Settings m_settings;
  Incarnation m_incarnation;
  SteadyClock m_clock;
  Published<Schema> m_schema;
  Metrics m_metrics;
  std::atomic<bool> m_drain_requested = false;
  std::atomic<bool> m_stopping = false;
  DecisionLoop m_loop;
  CallerEdge m_callers;
  OperatorEdge m_operators;
  HttpStoreClient m_store;
  HttpHostListClient m_hosts;
  std::optional<TargetTransport> m_targets;
  std::optional<StoreWorker> m_store_worker;
  std::optional<PeerTransport> m_peers;
  std::optional<HttpServer> m_caller_server;
  std::optional<HttpServer> m_operator_server;
  std::optional<PlatformPollers> m_pollers;
};

Daemon::Daemon(std::unique_ptr<State> state) noexcept
    : m_state(std::move(state)) {}
Daemon::Daemon(Daemon&&) noexcept = default;
Daemon& Daemon::operator=(Daemon&&) noexcept = default;
Daemon::~Daemon() = default;

Result<Daemon> Daemon::Start(const Settings& settings) {
  auto state = std::make_unique<State>(settings);
  BOOST_LEAF_CHECK(state->Start());
  return Daemon(std::move(state));
}

DaemonPorts Daemon::ports() const noexcept {
  return m_state->ports();
}

bool Daemon::drain_requested() const noexcept {
  return m_state->drain_requested();
}

void Daemon::DrainAndStop() {
  m_state->Drain();
  m_state.reset();
}

}  // namespace jacinthdeck
