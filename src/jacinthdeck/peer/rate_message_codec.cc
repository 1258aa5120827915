// Messages are FlatBuffers (rate_limit.fbs); the FlatBuffers verifier rejects
// damaged datagrams before they are read.
#include "jacinthdeck/peer/rate_message_codec.h"

#include <rate_limit_generated.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>
#include <utility>
#include <variant>

namespace jacinthdeck {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

//! Bytes of a datagram outside its accounts and the name of the sender: file
//! identifier, tables, their layouts and padding.
constexpr std::size_t kFrameBytes = 160;
//! Bytes of an account's table with its layout, lengths and padding, without
//! its name and its entries.
constexpr std::size_t kAccountBytes = 64;
//! Bytes of a waiting or refused request.
constexpr std::size_t kEntryBytes = 8;
//! Bytes for accounts that are used even if the sender's name leaves less.
constexpr std::size_t kMinAccountsBytes = 256;

[[nodiscard]] auto& EntriesOf(TokenDemand& demand) {
  return demand.waiting;
}
[[nodiscard]] auto& EntriesOf(TokenAward& award) {
  return award.limited;
}

//! Returns the rest of an account whose entries continue in the next part; its
//! counts stand in the first part alone.
template <typename Account>
[[nodiscard]] Account ContinuationOf(const Account& account) {
  Account rest;
  rest.tenant = account.tenant;
  return rest;
}

//! Distributes accounts over parts that fit \p budget bytes each. An account
//! whose entries do not fit continues in the next part.
template <typename Account>
[[nodiscard]] std::vector<std::vector<Account>> SplitAccounts(
    const std::vector<Account>& accounts,
    std::size_t budget) {
  std::vector<std::vector<Account>> parts(1);
  std::size_t used = 0;
  for (Account account : accounts) {
    auto entries = std::exchange(EntriesOf(account), {});
    std::size_t taken = 0;
    do {
      const std::size_t fixed = kAccountBytes + account.tenant.raw().size();
      if (!parts.back().empty() && used + fixed + kEntryBytes > budget) {
        parts.emplace_back();
        used = 0;
      }
      const std::size_t room =
          used + fixed < budget ? (budget - used - fixed) / kEntryBytes : 0;
      const std::size_t count =
          std::min(entries.size() - taken, std::max<std::size_t>(room, 1));
      const auto first = entries.begin() + static_cast<std::ptrdiff_t>(taken);
      Account rest = ContinuationOf(account);
      EntriesOf(account).assign(first,
                                first + static_cast<std::ptrdiff_t>(count));
      parts.back().push_back(std::exchange(account, std::move(rest)));
      used += fixed + count * kEntryBytes;
      taken += count;
    } while (taken < entries.size());
  }
  return parts;
}

[[nodiscard]] std::uint32_t EncodeDelay(Duration delay) {
  return static_cast<std::uint32_t>(std::clamp<Duration::rep>(
      delay.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

[[nodiscard]] Offset<void> BuildBody(FlatBufferBuilder& builder,
                                     const ShareRequest& request) {
  return wire::CreateRateShareRequest(builder, request.nonce).Union();
}

[[nodiscard]] Offset<void> BuildBody(FlatBufferBuilder& builder,
                                     const ShareLease& lease) {
  return wire::CreateRateShareLease(builder, lease.nonce, lease.share,
                                    lease.partitions)
      .Union();
}

[[nodiscard]] Offset<void> BuildBody(FlatBufferBuilder& builder,
                                     const TokenRequest& request) {
  std::vector<Offset<wire::RateDemand>> demands;
  demands.reserve(request.demands.size());
  for (const TokenDemand& demand : request.demands) {
    const auto tenant = builder.CreateString(demand.tenant.raw());
    const auto waiting = builder.CreateVector(demand.waiting);
    demands.push_back(
        wire::CreateRateDemand(builder, tenant, demand.spent, waiting));
  }
  const auto list = builder.CreateVector(demands);
  return wire::CreateRateTokenRequest(builder, request.number,
                                      request.started_ms, list)
      .Union();
}

[[nodiscard]] Offset<void> BuildBody(FlatBufferBuilder& builder,
                                     const TokenGrant& grant) {
  std::vector<Offset<wire::RateAward>> awards;
  awards.reserve(grant.awards.size());
  for (const TokenAward& award : grant.awards) {
    const auto tenant = builder.CreateString(award.tenant.raw());
    std::vector<wire::RateLimited> entries;
    entries.reserve(award.limited.size());
    for (const TokenAward::Limited& limited : award.limited) {
      entries.emplace_back(limited.position, EncodeDelay(limited.retry_after));
    }
    const auto limited = builder.CreateVectorOfStructs(entries);
    awards.push_back(wire::CreateRateAward(builder, tenant, award.granted,
                                           award.settled, limited));
  }
  const auto list = builder.CreateVector(awards);
  return wire::CreateRateTokenGrant(builder, grant.number, grant.started_ms,
                                    list)
      .Union();
}

[[nodiscard]] std::string EncodePart(const HostId& from,
                                     std::size_t part,
                                     std::size_t parts,
                                     const RateMessage& message) {
  constexpr wire::RateBody kBodyTypes[] = {
      wire::RateBody::RateShareRequest, wire::RateBody::RateShareLease,
      wire::RateBody::RateTokenRequest, wire::RateBody::RateTokenGrant};
  FlatBufferBuilder builder(kMaxRateDatagramBytes);
  const auto name = builder.CreateString(from.raw());
  const Offset<void> body = std::visit(
      [&](const auto& typed) { return BuildBody(builder, typed); }, message);
  wire::FinishRateDatagramBuffer(
      builder,
      wire::CreateRateDatagram(builder, name, static_cast<std::uint16_t>(part),
                               static_cast<std::uint16_t>(parts),
                               kBodyTypes[message.index()], body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

//! Encodes the parts of a message that lists accounts in \p member.
template <typename Message, typename Account>
[[nodiscard]] std::vector<std::string> EncodeSplit(
    const HostId& from,
    const Message& message,
    std::vector<Account> Message::*member) {
  const std::size_t fixed = kFrameBytes + from.raw().size();
  const std::size_t budget = fixed + kMinAccountsBytes < kMaxRateDatagramBytes
                                 ? kMaxRateDatagramBytes - fixed
                                 : kMinAccountsBytes;
  auto parts = SplitAccounts(message.*member, budget);
  // The limiter repeats what is left out.
  parts.resize(std::min<std::size_t>(
      parts.size(), std::numeric_limits<std::uint16_t>::max()));
  std::vector<std::string> datagrams;
  datagrams.reserve(parts.size());
  for (std::size_t index = 0; index < parts.size(); ++index) {
    Message part = message;
    part.*member = std::move(parts[index]);
    datagrams.push_back(EncodePart(from, index, parts.size(), part));
  }
  return datagrams;
}

[[nodiscard]] Result<TenantId> ReadTenant(const flatbuffers::String* name) {
  if (name == nullptr || name->size() == 0) {
    return Fail(ErrorCode::kCorrupt, "rate message", "names no account");
  }
  return TenantId(name->str());
}

[[nodiscard]] Result<RateMessage> DecodeLease(const wire::RateShareLease& in) {
  // The comparison is false for a share that is not a number.
  if (!(in.share() >= 0 && in.share() <= 1)) {
    return Fail(ErrorCode::kCorrupt, "rate message",
                "leases a share outside 0 to 1");
  }
  return RateMessage(ShareLease{in.nonce(), in.share(), in.partitions()});
}

[[nodiscard]] Result<RateMessage> DecodeRequest(
    const wire::RateTokenRequest& in) {
  TokenRequest request{in.number(), in.started_ms(), {}};
  if (in.demands() != nullptr) {
    for (const wire::RateDemand* demand : *in.demands()) {
      TokenDemand out;
      BOOST_LEAF_ASSIGN(out.tenant, ReadTenant(demand->tenant()));
      out.spent = demand->spent();
      if (demand->waiting() != nullptr) {
        // A damaged message may hold the numbers at an odd offset, which the
        // verifier does not check.
        out.waiting.resize(demand->waiting()->size());
        if (!out.waiting.empty()) {
          std::memcpy(out.waiting.data(), demand->waiting()->Data(),
                      out.waiting.size() * sizeof(std::uint64_t));
        }
      }
      request.demands.push_back(std::move(out));
    }
  }
  return RateMessage(std::move(request));
}

[[nodiscard]] Result<RateMessage> DecodeGrant(const wire::RateTokenGrant& in) {
  TokenGrant grant{in.number(), in.started_ms(), {}};
  if (in.awards() != nullptr) {
    for (const wire::RateAward* award : *in.awards()) {
      TokenAward out;
      BOOST_LEAF_ASSIGN(out.tenant, ReadTenant(award->tenant()));
      out.granted = award->granted();
      out.settled = award->settled();
      if (award->limited() != nullptr) {
        for (const wire::RateLimited* limited : *award->limited()) {
          out.limited.push_back(
              {limited->position(), Duration(limited->retry_after_us())});
        }
      }
      grant.awards.push_back(std::move(out));
    }
  }
  return RateMessage(std::move(grant));
}

[[nodiscard]] Result<RateMessage> DecodeBody(const wire::RateDatagram& in) {
  if (const auto* request = in.body_as_RateShareRequest()) {
    return RateMessage(ShareRequest{request->nonce()});
  }
  if (const auto* lease = in.body_as_RateShareLease()) {
    return DecodeLease(*lease);
  }
  if (const auto* request = in.body_as_RateTokenRequest()) {
    return DecodeRequest(*request);
  }
  if (const auto* grant = in.body_as_RateTokenGrant()) {
    return DecodeGrant(*grant);
  }
  return Fail(ErrorCode::kCorrupt, "rate message",
              "has a body of an unknown type");
}

}  // namespace

std::vector<std::string> EncodeRateMessage(const HostId& from,
                                           const RateMessage& message) {
  if (const auto* request = std::get_if<TokenRequest>(&message)) {
    return EncodeSplit(from, *request, &TokenRequest::demands);
  }
  if (const auto* grant = std::get_if<TokenGrant>(&message)) {
    return EncodeSplit(from, *grant, &TokenGrant::awards);
  }
  return {EncodePart(from, 0, 1, message)};
}

Result<RateDatagram> DecodeRateDatagram(std::string_view bytes) {
  // The identifier is read before the verifier checks the size.
  constexpr std::size_t kMinBytes = 8;
  if (bytes.size() < kMinBytes || bytes.size() > kMaxRateDatagramBytes) {
    return Fail(ErrorCode::kCorrupt, "rate message", "has an invalid size");
  }
  // Numbers of 8 bytes are read in place, so their buffer must be aligned.
  alignas(std::uint64_t) std::array<std::uint8_t, kMaxRateDatagramBytes> buffer;
  std::memcpy(buffer.data(), bytes.data(), bytes.size());
  const std::uint8_t* data = buffer.data();
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!wire::VerifyRateDatagramBuffer(verifier)) {
    return Fail(ErrorCode::kCorrupt, "rate message", "is no valid message");
  }
  const wire::RateDatagram& in = *wire::GetRateDatagram(data);
  if (in.from() == nullptr || in.from()->size() == 0 ||
      in.part() >= in.parts()) {
    return Fail(ErrorCode::kCorrupt, "rate message",
                "has no sender, or a part beyond its end");
  }
  RateDatagram datagram{HostId(in.from()->str()), in.part(), in.parts(),
                        RateMessage()};
  BOOST_LEAF_ASSIGN(datagram.message, DecodeBody(in));
  return datagram;
}

}  // namespace jacinthdeck
