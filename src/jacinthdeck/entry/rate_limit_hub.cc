// Accepts messages only from the addresses in the records of the hosts, so that
// a stray datagram cannot lease a share.
#include "jacinthdeck/entry/rate_limit_hub.h"

#include <utility>

#include "jacinthdeck/peer/rate_message_codec.h"

namespace jacinthdeck {

namespace {

//! How long the address of a host that has left stays valid. Longer than the
//! grace period of a host that stops.
constexpr Duration kDepartedPeriod = std::chrono::seconds(30);

//! Returns the address that a record names for rate limits; empty if it names
//! none.
[[nodiscard]] std::optional<udp::endpoint> AddressOf(const HostRecord& host) {
  if (host.rate_limits.empty()) {
    return std::nullopt;
  }
  const auto parsed =
      Capture([&] { return Endpoint::Parse(host.rate_limits); });
  const auto* endpoint = std::get_if<Endpoint>(&parsed);
  if (endpoint == nullptr) {
    return std::nullopt;
  }
  SystemError error;
  const auto ip = asio::ip::make_address_v4(endpoint->address, error);
  return error ? std::nullopt
               : std::optional(udp::endpoint(ip, endpoint->port));
}

}  // namespace

RateLimitHub::RateLimitHub(asio::io_context& loop,
                           const Clock& clock,
                           const RateLimiterOptions& options,
                           RateLimitObserver& observer,
                           std::uint64_t seed)
    : m_clock(clock),
      m_host(options.host),
      m_observer(observer),
      m_socket(loop, *this),
      m_limiter(options, *this, seed, clock.Now()) {}

Result<void> RateLimitHub::Listen(const Endpoint& endpoint) {
  return m_socket.Listen(endpoint);
}

void RateLimitHub::SetAddresses(const std::vector<HostRecord>& hosts,
                                TimePoint now) {
  for (auto& [name, known] : m_known) {
    known.left = known.left.value_or(now);
  }
  for (const HostRecord& host : hosts) {
    if (const auto address = AddressOf(host)) {
      m_known[host.name] = {*address, std::nullopt};
    }
  }
  std::erase_if(m_known, [&](const auto& item) {
    return item.second.left && now - *item.second.left > kDepartedPeriod;
  });
}

// A front of an earlier version, or without the settings, has no address. It
// counts as a sharer, but cannot allocate.
void RateLimitHub::SetHosts(const std::vector<HostRecord>& fronts,
                            std::uint32_t sharers,
                            bool has_share,
                            TimePoint now) {
  std::vector<HostId> allocators;
  for (const HostRecord& front : fronts) {
    if (is_open() && !front.rate_limits.empty()) {
      allocators.push_back(front.name);
    }
  }
  if (allocators == m_fronts && sharers == m_sharers &&
      has_share == m_has_share) {
    return;
  }
  m_fronts = std::move(allocators);
  m_sharers = sharers;
  m_has_share = has_share;
  m_limiter.SetHosts(m_fronts, sharers, has_share, now);
}

void RateLimitHub::SetTenants(std::shared_ptr<const TenantTable> tenants,
                              TimePoint now) {
  m_limiter.SetTenants(std::move(tenants), now);
}

RateVerdict RateLimitHub::Admit(const RateRequest& request, TimePoint now) {
  return m_limiter.Admit(request, now);
}

void RateLimitHub::Cancel(CallId call, TimePoint now) {
  m_limiter.Cancel(call, now);
}

void RateLimitHub::Refund(const TenantId& tenant, TimePoint now) {
  m_limiter.Refund(tenant, now);
}

void RateLimitHub::SendRateMessage(const HostId& to,
                                   const RateMessage& message) {
  const auto known = m_known.find(to);
  if (!is_open() || known == m_known.end()) {
    ++m_counters.unsendable;
    return;
  }
  for (const std::string& datagram : EncodeRateMessage(m_host, message)) {
    m_socket.Send(known->second.address, datagram);
  }
}

void RateLimitHub::OnRateVerdict(CallId call, const RateVerdict& verdict) {
  m_observer.OnRateVerdict(call, verdict);
}

void RateLimitHub::OnDatagram(std::string_view bytes,
                              const udp::endpoint& from) {
  auto read = Capture([&] { return DecodeRateDatagram(bytes); });
  auto* datagram = std::get_if<RateDatagram>(&read);
  if (datagram == nullptr) {
    ++m_counters.damaged;
    return;
  }
  const auto known = m_known.find(datagram->from);
  if (known == m_known.end() || known->second.address != from ||
      datagram->from == m_host) {
    ++m_counters.foreign;
    return;
  }
  const HostId sender = datagram->from;
  if (const auto message = m_assembler.Add(std::move(*datagram))) {
    m_limiter.OnMessage(sender, *message, m_clock.Now());
    m_observer.OnRateMessage();
  }
}

}  // namespace jacinthdeck
