// Event queue of messages, timers and callers.
#include "support/rate_fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <string>
#include <utility>
#include <variant>

namespace jacinthdeck::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Quarters of the objectives of the routes of a deployment.
constexpr std::array<Duration, 3> kPatience{
    milliseconds(20), microseconds(37500), milliseconds(200)};
// Callers come back once if they are told at most a third of their time.
constexpr std::array<Duration, 3> kLongestWait{milliseconds(266),
                                               milliseconds(500), seconds(2)};

[[nodiscard]] double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

[[nodiscard]] Duration FromSeconds(double value) {
  return Duration(static_cast<Duration::rep>(value * 1e6));
}

}  // namespace

std::uint64_t SizeOf(const RateMessage& message) {
  // Headers of IP and UDP, and the tables of a FlatBuffer.
  std::uint64_t size = 28 + 32;
  if (std::holds_alternative<ShareRequest>(message)) {
    size += 8;
  } else if (std::holds_alternative<ShareLease>(message)) {
    size += 24;
  } else if (const auto* request = std::get_if<TokenRequest>(&message)) {
    size += 16;
    for (const TokenDemand& demand : request->demands) {
      size += 24 + demand.tenant.raw().size() + 8 * demand.waiting.size();
    }
  } else if (const auto* grant = std::get_if<TokenGrant>(&message)) {
    size += 16;
    for (const TokenAward& award : grant->awards) {
      size += 28 + award.tenant.raw().size() + 12 * award.limited.size();
    }
  }
  return size;
}

struct RateFleet::Host : RateLimiterPort {
  RateFleet* fleet = nullptr;
  std::uint32_t index = 0;
  HostId id;
  std::unique_ptr<RateLimiter> limiter;
  std::uint64_t starts = 0;
  std::uint32_t group = 0;
  bool is_paused = false;
  std::optional<TimePoint> wake_at;
  std::deque<std::pair<std::uint32_t, RateMessage>> held;
  std::vector<std::uint32_t> fronts;
  std::uint32_t sharers = 1;
  std::shared_ptr<const TenantTable> table;

  void SendRateMessage(const HostId& to, const RateMessage& message) override {
    fleet->Carry(*this, to, message);
  }

  void OnRateVerdict(CallId call, const RateVerdict& verdict) override {
    const auto found = fleet->m_waiting.find(call.raw());
    if (found != fleet->m_waiting.end()) {
      const auto done = std::move(found->second);
      fleet->m_waiting.erase(found);
      done(verdict);
    }
  }
};

RateFleet::RateFleet(const RateFleetOptions& options)
    : m_options(options), m_random(options.seed), m_begin(m_now) {
  double sum = 0;
  for (std::uint32_t i = 0; i < options.accounts; ++i) {
    sum += std::pow(i + 1, -1.2);
  }
  for (std::uint32_t i = 0; i < options.accounts; ++i) {
    RateFleetAccount account;
    account.name = TenantId("account-" + std::to_string(i));
    account.usual = options.requests_per_s * std::pow(i + 1, -1.2) / sum;
    account.rate = options.headroom * account.usual;
    account.burst = std::max(account.rate, 1.0);
    account.level = account.burst;
    account.updated = m_now;
    account.earlier_rate = account.rate;
    account.earlier_burst = account.burst;
    m_accounts.push_back(std::move(account));
  }
  m_table = Table();
  for (std::uint32_t i = 0; i < options.hosts; ++i) {
    AddHost();
    if (i < options.fronts) {
      m_fronts.push_back(i);
    }
  }
  m_front_counts.emplace_back(m_now, m_fronts.size());
  for (std::uint32_t i = 0; i < options.hosts; ++i) {
    Start(i);
  }
}

RateFleet::~RateFleet() = default;

void RateFleet::SetCallers(bool are_active) {
  m_are_callers_active = are_active;
  ++m_round;
  for (std::uint32_t i = 0; are_active && i < m_accounts.size(); ++i) {
    CallLater(i);
  }
}

void RateFleet::RunFor(Duration duration) {
  const TimePoint end = m_now + duration;
  while (!m_events.empty() && m_events.top().at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
  }
  m_now = end;
}

void RateFleet::CutOff(std::uint32_t first, std::uint32_t count) {
  for (std::uint32_t i = first; i < first + count; ++i) {
    m_hosts[i]->group = 1;
  }
}

void RateFleet::Reconnect() {
  for (const auto& host : m_hosts) {
    host->group = 0;
  }
}

void RateFleet::Kill(std::uint32_t index) {
  Host& host = *m_hosts[index];
  host.limiter.reset();
  host.held.clear();
  host.wake_at.reset();
}

void RateFleet::Start(std::uint32_t index) {
  Host& host = *m_hosts[index];
  ++host.starts;
  const auto ms =
      std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
  RateLimiterOptions options;
  options.host = host.id;
  options.started_ms = static_cast<std::uint64_t>(ms.count()) + host.starts;
  options.window = m_options.window;
  options.overshoot = m_options.overshoot;
  options.slack = m_options.slack;
  host.limiter =
      std::make_unique<RateLimiter>(options, host, m_random.DrawSeed(), m_now);
  host.table = m_table;
  host.fronts = m_fronts;
  host.sharers = Sharers();
  Configure(host);
}

void RateFleet::Pause(std::uint32_t index) {
  m_hosts[index]->is_paused = true;
}

void RateFleet::Resume(std::uint32_t index) {
  Host& host = *m_hosts[index];
  host.is_paused = false;
  while (host.limiter && !host.held.empty()) {
    const auto [from, message] = std::move(host.held.front());
    host.held.pop_front();
    host.limiter->OnMessage(m_hosts[from]->id, message, m_now);
  }
  Schedule(host);
}

std::uint32_t RateFleet::AddHost() {
  auto host = std::make_unique<Host>();
  host->fleet = this;
  host->index = static_cast<std::uint32_t>(m_hosts.size());
  host->id = HostId("host-" + std::to_string(host->index));
  m_by_id.emplace(host->id, host->index);
  m_hosts.push_back(std::move(host));
  return static_cast<std::uint32_t>(m_hosts.size() - 1);
}

void RateFleet::ListFronts(const std::vector<std::uint32_t>& fronts,
                           Duration spread) {
  m_fronts = fronts;
  m_front_counts.emplace_back(m_now, m_fronts.size());
  for (const auto& host : m_hosts) {
    const auto delay = static_cast<Duration::rep>(
        m_random.Below(static_cast<std::uint64_t>(spread.count()) + 1));
    At(m_now + Duration(delay), [this, fronts, host = host.get()] {
      host->fronts = fronts;
      host->sharers = Sharers();
      Configure(*host);
    });
    // The highest number of fronts is that of the last 25 s.
    At(m_now + seconds(25) + Duration(delay + 1), [this, host = host.get()] {
      host->sharers = Sharers();
      Configure(*host);
    });
  }
}

void RateFleet::SetLimit(std::uint32_t index, double rate, Duration spread) {
  RateFleetAccount& account = m_accounts[index];
  account.earlier_rate = std::max(account.earlier_rate, account.rate);
  account.earlier_burst = std::max(account.earlier_burst, account.burst);
  account.rate = rate;
  account.burst = std::max(rate, 1.0);
  account.bound_since = m_now + spread + m_options.window;
  m_table = Table();
  for (const auto& host : m_hosts) {
    const auto delay = static_cast<Duration::rep>(
        m_random.Below(static_cast<std::uint64_t>(spread.count()) + 1));
    At(m_now + Duration(delay), [this, host = host.get(), table = m_table] {
      host->table = table;
      Configure(*host);
    });
  }
}

void RateFleet::SetFactor(std::uint32_t index, double factor) {
  m_accounts[index].factor = factor;
  m_accounts[index].is_over = true;
}

void RateFleet::Send(std::uint32_t index,
                     std::uint32_t account_index,
                     std::uint64_t hash,
                     Duration patience,
                     std::function<void(const RateVerdict&)> done) {
  Host& host = *m_hosts[index];
  const CallId call(++m_calls);
  auto finish = [this, account_index,
                 done = std::move(done)](const RateVerdict& verdict) {
    RateFleetAccount& account = m_accounts[account_index];
    if (verdict.decision == RateDecision::kAdmitted) {
      account.admitted.push_back(m_now);
    } else {
      ++account.refused;
    }
    done(verdict);
  };
  ++m_accounts[account_index].sent;
  const RateVerdict verdict = host.limiter->Admit(
      {call, m_accounts[account_index].name, hash, m_now + patience}, m_now);
  if (verdict.decision == RateDecision::kPending) {
    m_waiting.emplace(call.raw(), std::move(finish));
  } else {
    finish(verdict);
  }
  Schedule(host);
}

void RateFleet::ForgetCounts() {
  m_begin = m_now;
  m_within = 0;
  m_limited = 0;
  m_unknown = 0;
  m_returned = 0;
  m_returned_refused = 0;
  m_messages = 0;
  m_bytes = 0;
}

RateFleetResult RateFleet::Result() const {
  RateFleetResult result;
  result.within = m_within;
  result.limited_within = m_limited;
  result.unknown_within = m_unknown;
  result.returned = m_returned;
  result.returned_refused = m_returned_refused;
  result.messages = m_messages;
  result.bytes = m_bytes;
  result.duration = m_now - m_begin;
  const double window = SecondsOf(m_options.window);
  for (const RateFleetAccount& account : m_accounts) {
    const auto bound_of = [&](double rate, double burst) {
      return (rate * window + burst) * (1 + m_options.overshoot) +
             m_options.slack;
    };
    const double now = bound_of(account.rate, account.burst);
    const double earlier =
        std::max(now, bound_of(account.earlier_rate, account.earlier_burst));
    std::size_t last = 0;
    for (std::size_t first = 0; first < account.admitted.size(); ++first) {
      const TimePoint begin = account.admitted[first];
      while (last < account.admitted.size() &&
             account.admitted[last] <= begin + m_options.window) {
        ++last;
      }
      const double bound = begin >= account.bound_since ? now : earlier;
      const double ratio = static_cast<double>(last - first) / bound;
      if (ratio > result.worst_window) {
        result.worst_window = ratio;
        result.worst_account = account.name;
      }
    }
  }
  return result;
}

RateLimiter& RateFleet::limiter(std::uint32_t host) {
  return *m_hosts[host]->limiter;
}

HostId RateFleet::IdOf(std::uint32_t host) const {
  return m_hosts[host]->id;
}

std::uint32_t RateFleet::AllocatorOf(std::uint32_t account) {
  Host& host = *m_hosts[m_fronts.front()];
  const auto status = host.limiter->StatusOf(m_accounts[account].name, m_now);
  return status ? m_by_id.at(status->allocator) : m_fronts.front();
}

void RateFleet::At(TimePoint at, std::function<void()> run) {
  m_events.push({at, ++m_order, std::move(run)});
}

void RateFleet::Schedule(Host& host) {
  if (!host.limiter || host.is_paused) {
    return;
  }
  const std::optional<TimePoint> next = host.limiter->NextTimer();
  if (!next || (host.wake_at && *host.wake_at <= *next)) {
    return;
  }
  host.wake_at = next;
  At(std::max(*next, m_now), [this, &host, at = *next] {
    if (host.wake_at == at) {
      Wake(host);
    }
  });
}

void RateFleet::Wake(Host& host) {
  host.wake_at.reset();
  if (host.limiter && !host.is_paused) {
    host.limiter->OnTimer(m_now);
    Schedule(host);
  }
}

void RateFleet::Carry(Host& from,
                      const HostId& to,
                      const RateMessage& message) {
  ++m_messages;
  m_bytes += SizeOf(message);
  const auto found = m_by_id.find(to);
  if (found == m_by_id.end() || m_random.Unit() < m_options.loss) {
    return;
  }
  const int copies = m_random.Unit() < m_options.repeats ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    auto delay = static_cast<Duration::rep>(200 + m_random.Below(800));
    if (m_random.Unit() < m_options.late) {
      delay += static_cast<Duration::rep>(m_random.Below(
          static_cast<std::uint64_t>(m_options.late_by.count())));
    }
    At(m_now + Duration(delay),
       [this, from = from.index, to = found->second, group = from.group,
        message] { Deliver(from, to, group, message); });
  }
}

void RateFleet::Deliver(std::uint32_t from,
                        std::uint32_t to,
                        std::uint32_t from_group,
                        const RateMessage& message) {
  Host& host = *m_hosts[to];
  if (!host.limiter || host.group != from_group) {
    return;
  }
  if (host.is_paused) {
    host.held.emplace_back(from, message);
    return;
  }
  host.limiter->OnMessage(m_hosts[from]->id, message, m_now);
  Schedule(host);
}

void RateFleet::Configure(Host& host) {
  if (!host.limiter) {
    return;
  }
  std::vector<HostId> fronts;
  for (const std::uint32_t front : host.fronts) {
    fronts.push_back(m_hosts[front]->id);
  }
  const bool is_front =
      std::ranges::find(host.fronts, host.index) != host.fronts.end();
  host.limiter->SetHosts(fronts, host.sharers, is_front, m_now);
  host.limiter->SetTenants(host.table, m_now);
  Schedule(host);
}

void RateFleet::CallLater(std::uint32_t index) {
  const RateFleetAccount& account = m_accounts[index];
  const double rate = account.usual * account.factor;
  const Duration gap = FromSeconds(-std::log(1 - m_random.Unit()) / rate);
  // A change of the factor takes effect within this time.
  const Duration most = milliseconds(200);
  At(m_now + std::min(gap, most),
     [this, index, is_call = gap <= most, round = m_round] {
       if (round != m_round) {
         return;
       }
       if (is_call) {
         Call(index);
       }
       CallLater(index);
     });
}

void RateFleet::Call(std::uint32_t index) {
  RateFleetAccount& account = m_accounts[index];
  if (!account.is_over && !IsWithinLimit(account)) {
    return;
  }
  const std::optional<std::uint32_t> front = RandomFront();
  if (!front) {
    return;
  }
  const bool counts = !account.is_over;
  m_within += counts ? 1 : 0;
  const std::size_t route = m_random.Below(kPatience.size());
  const std::uint64_t hash = m_random.DrawSeed();
  Send(*front, index, hash, kPatience[route],
       [this, counts, index, hash, route](const RateVerdict& verdict) {
         if (verdict.decision == RateDecision::kAdmitted) {
           return;
         }
         if (counts) {
           m_limited += verdict.decision == RateDecision::kLimited ? 1 : 0;
           m_unknown += verdict.decision == RateDecision::kUnknown ? 1 : 0;
         }
         if (verdict.retry_after <= kLongestWait[route]) {
           At(m_now + verdict.retry_after + milliseconds(6),
              [this, index, hash, route] {
                Return(index, hash, kPatience[route]);
              });
         }
       });
}

std::optional<std::uint32_t> RateFleet::RandomFront() {
  std::vector<std::uint32_t> up;
  for (const std::uint32_t front : m_fronts) {
    const Host& host = *m_hosts[front];
    if (host.limiter && !host.is_paused) {
      up.push_back(front);
    }
  }
  return up.empty() ? std::nullopt
                    : std::optional(up[m_random.Below(up.size())]);
}

void RateFleet::Return(std::uint32_t account,
                       std::uint64_t hash,
                       Duration patience) {
  const std::optional<std::uint32_t> front = RandomFront();
  if (front) {
    ++m_returned;
    Send(*front, account, hash, patience, [this](const RateVerdict& verdict) {
      m_returned_refused += verdict.decision == RateDecision::kAdmitted ? 0 : 1;
    });
  }
}

bool RateFleet::IsWithinLimit(RateFleetAccount& account) const {
  const double gain = account.rate * SecondsOf(m_now - account.updated);
  account.level = std::min(account.level + gain, account.burst);
  account.updated = m_now;
  if (account.level < 1) {
    return false;
  }
  account.level -= 1;
  return true;
}

std::shared_ptr<const TenantTable> RateFleet::Table() const {
  std::vector<Tenant> tenants;
  for (const RateFleetAccount& account : m_accounts) {
    Tenant tenant;
    tenant.name = account.name;
    tenant.rate = account.rate;
    tenant.burst = account.burst;
    tenants.push_back(std::move(tenant));
  }
  return std::make_shared<const TenantTable>(std::move(tenants));
}

std::uint32_t RateFleet::Sharers() const {
  std::size_t sharers = m_fronts.size();
  for (std::size_t i = 0; i < m_front_counts.size(); ++i) {
    const bool is_past = i + 1 < m_front_counts.size() &&
                         m_front_counts[i + 1].first + seconds(25) <= m_now;
    sharers = std::max(sharers, is_past ? 0 : m_front_counts[i].second);
  }
  return static_cast<std::uint32_t>(sharers);
}

}  // namespace jacinthdeck::bench
