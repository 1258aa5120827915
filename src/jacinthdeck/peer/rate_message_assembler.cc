// Parts are joined in their order, so that the entries of an account that
// continues in the next part keep their positions.
#include "jacinthdeck/peer/rate_message_assembler.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace jacinthdeck {

namespace {

void Join(TokenDemand& demand, TokenDemand&& rest) {
  demand.spent += rest.spent;
  std::ranges::move(rest.waiting, std::back_inserter(demand.waiting));
}

void Join(TokenAward& award, TokenAward&& rest) {
  award.granted += rest.granted;
  award.settled += rest.settled;
  std::ranges::move(rest.limited, std::back_inserter(award.limited));
}

template <typename Account>
void JoinAccounts(std::vector<Account>& accounts, std::vector<Account>&& rest) {
  for (Account& account : rest) {
    if (!accounts.empty() && accounts.back().tenant == account.tenant) {
      Join(accounts.back(), std::move(account));
    } else {
      accounts.push_back(std::move(account));
    }
  }
}

void JoinParts(RateMessage& message, RateMessage&& rest) {
  if (auto* request = std::get_if<TokenRequest>(&message)) {
    JoinAccounts(request->demands,
                 std::move(std::get<TokenRequest>(rest).demands));
  } else if (auto* grant = std::get_if<TokenGrant>(&message)) {
    JoinAccounts(grant->awards, std::move(std::get<TokenGrant>(rest).awards));
  }
}

}  // namespace

std::optional<RateMessage> RateMessageAssembler::Add(RateDatagram datagram) {
  if (datagram.parts == 1) {
    return std::move(datagram.message);
  }
  if (datagram.parts > kMaxParts) {
    return std::nullopt;
  }
  Key key = KeyOf(datagram);
  auto found = std::ranges::find(m_messages, key, &Incomplete::key);
  if (found == m_messages.end()) {
    if (m_messages.size() == kMaxMessages) {
      m_messages.pop_front();
    }
    Incomplete& added = m_messages.emplace_back();
    added.key = std::move(key);
    added.parts.resize(datagram.parts);
    added.missing = datagram.parts;
    found = std::prev(m_messages.end());
  }
  std::optional<RateMessage>& part = found->parts[datagram.part];
  found->missing -= part ? 0 : 1;
  part = std::move(datagram.message);
  if (found->missing > 0) {
    return std::nullopt;
  }
  RateMessage message = std::move(*found->parts.front());
  for (std::size_t index = 1; index < found->parts.size(); ++index) {
    JoinParts(message, std::move(*found->parts[index]));
  }
  m_messages.erase(found);
  return message;
}

RateMessageAssembler::Key RateMessageAssembler::KeyOf(
    const RateDatagram& datagram) {
  Key key;
  key.from = datagram.from;
  key.type = datagram.message.index();
  key.parts = datagram.parts;
  if (const auto* request = std::get_if<TokenRequest>(&datagram.message)) {
    key.number = request->number;
    key.started_ms = request->started_ms;
  } else if (const auto* grant = std::get_if<TokenGrant>(&datagram.message)) {
    key.number = grant->number;
    key.started_ms = grant->started_ms;
  }
  return key;
}

}  // namespace jacinthdeck
