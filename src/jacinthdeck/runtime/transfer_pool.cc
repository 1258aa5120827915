// Transfers to targets in flight, over one libcurl multi handle.
#include "jacinthdeck/runtime/transfer_pool.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/runtime/target_codec.h"

namespace jacinthdeck::internal {

namespace {

constexpr int kIdleWaitMs = 20;
constexpr int kBacklogWaitMs = 1;
//! A reply above this is not of the protocol; without a bound one target could
//! take all memory.
constexpr std::size_t kMaxReplyBytes = std::size_t{8} << 20U;
constexpr std::size_t kMaxIdleHandles = 1024;
constexpr long kKeptConnections = 4096;
constexpr long kCancelTimeoutMs = 1000;

std::size_t AppendBody(char* data,
                       std::size_t size,
                       std::size_t count,
                       void* user) {
  auto* body = static_cast<std::string*>(user);
  if (body->size() + size * count > kMaxReplyBytes) {
    return 0;
  }
  body->append(data, size * count);
  return size * count;
}

curl_socket_t OpenSocket(void* user,
                         curlsocktype /*purpose*/,
                         curl_sockaddr* address) {
  auto* budget = static_cast<SocketBudget*>(user);
  // Above its connection limit a target refuses whoever comes next, another
  // entry included; to fail here instead costs one retry, and nothing has been
  // sent.
  if (budget->open >= budget->limit) {
    return CURL_SOCKET_BAD;
  }
  const int descriptor = socket(
      address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (descriptor >= 0) {
    ++budget->open;
  }
  return descriptor;
}

int CloseSocket(void* user, curl_socket_t descriptor) {
  --static_cast<SocketBudget*>(user)->open;
  return close(descriptor);
}

//! Tells whether any byte of the request can have reached the target.
[[nodiscard]] bool WasSent(CURL* handle) {
  long request_bytes = 0;
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
  return request_bytes > 0;
}

[[nodiscard]] AttemptStatus FailureOf(CURL* handle, CURLcode code) {
  if (!WasSent(handle)) {
    return AttemptStatus::kNotSent;
  }
  return code == CURLE_OPERATION_TIMEDOUT ? AttemptStatus::kTimedOut
                                          : AttemptStatus::kLost;
}

}  // namespace

struct TransferPool::Transfer {
  Handle handle;
  std::string request;
  std::string reply;
  curl_slist* headers = nullptr;
  AttemptId attempt;
  Endpoint endpoint;
  //! False for the cancel calls, whose end nobody waits for.
  bool reports = false;
  bool cancelled = false;

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() { curl_slist_free_all(headers); }

  void AddHeader(const std::string& header) {
    headers = curl_slist_append(headers, header.c_str());
  }
};

TransferPool::TransferPool(const Clock& clock, ReplySink sink)
    : m_clock(clock), m_sink(std::move(sink)), m_multi(curl_multi_init()) {
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kKeptConnections);
}

TransferPool::~TransferPool() {
  for (auto& [handle, transfer] : m_transfers) {
    curl_multi_remove_handle(m_multi, handle);
  }
  m_transfers.clear();
  m_idle.clear();
  curl_multi_cleanup(m_multi);
}

void TransferPool::Accept(TargetCommand command) {
  if (auto* send = std::get_if<TargetSend>(&command)) {
    Start(*send);
  } else {
    Cancel(std::get<TargetCancel>(command).attempt);
  }
}

TransferPool::Handle TransferPool::TakeHandle() {
  if (m_idle.empty()) {
    return Handle(curl_easy_init());
  }
  Handle handle = std::move(m_idle.back());
  m_idle.pop_back();
  curl_easy_reset(handle.get());
  return handle;
}

SocketBudget& TransferPool::Prepare(Transfer& transfer,
                                    const Endpoint& endpoint,
                                    const std::string& path) {
  const std::string host =
      endpoint.address + ":" + std::to_string(endpoint.port);
  std::unique_ptr<SocketBudget>& budget = m_budgets[host];
  if (budget == nullptr) {
    budget = std::make_unique<SocketBudget>();
  }
  transfer.handle = TakeHandle();
  transfer.endpoint = endpoint;
  transfer.AddHeader("Content-Type: application/json");
  transfer.AddHeader("Expect:");
  CURL* handle = transfer.handle.get();
  curl_easy_setopt(handle, CURLOPT_URL, ("http://" + host + path).c_str());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(transfer.request.size()));
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, transfer.request.c_str());
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer.reply);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, budget.get());
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &CloseSocket);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, budget.get());
  return *budget;
}

void TransferPool::Start(const TargetSend& send) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      send.attempt.deadline - m_clock.Now());
  if (left.count() <= 0) {
    AttemptReply reply;
    reply.attempt = send.attempt.attempt;
    reply.status = AttemptStatus::kNotSent;
    Report(std::move(reply));
    return;
  }
  auto transfer = std::make_unique<Transfer>();
  transfer->attempt = send.attempt.attempt;
  transfer->reports = true;
  transfer->request = EncodeTargetRequest(send.attempt);
  SocketBudget& budget = Prepare(*transfer, send.endpoint, "/query");
  budget.limit = std::max<std::uint32_t>(1, send.connections);
  transfer->AddHeader("X-Attempt: " +
                      std::to_string(send.attempt.attempt.raw()));
  transfer->AddHeader("X-Deadline-Ms: " + std::to_string(left.count()));
  CURL* handle = transfer->handle.get();
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(left.count()));
  if (send.attempt.method->repeat == Repeat::kOnce) {
    // libcurl sends a request again by itself when a kept connection dies
    // before the first byte of the reply; the target may have run it already,
    // and a ticket would be claimed twice. On a connection of its own there is
    // nothing stale to fall back from.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  m_by_attempt[transfer->attempt] = handle;
  curl_multi_add_handle(m_multi, handle);
  m_transfers[handle] = std::move(transfer);
}

void TransferPool::Cancel(AttemptId attempt) {
  const auto found = m_by_attempt.find(attempt);
  if (found == m_by_attempt.end()) {
    return;
  }
  // The transfer is left to end by the target's own answer: to cut its
  // connection would make the next request pay for a new one, and a target that
  // still works would count against its limit unseen.
  Transfer& cancelled = *m_transfers[found->second];
  cancelled.cancelled = true;
  auto transfer = std::make_unique<Transfer>();
  (void)Prepare(*transfer, cancelled.endpoint, "/cancel");
  transfer->AddHeader("X-Attempt: " + std::to_string(attempt.raw()));
  CURL* handle = transfer->handle.get();
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kCancelTimeoutMs);
  curl_multi_add_handle(m_multi, handle);
  m_transfers[handle] = std::move(transfer);
}

void TransferPool::Step() {
  int running = 0;
  curl_multi_perform(m_multi, &running);
  Collect();
  Flush();
  curl_multi_poll(m_multi, nullptr, 0,
                  m_backlog.empty() ? kIdleWaitMs : kBacklogWaitMs, nullptr);
}

void TransferPool::Collect() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg == CURLMSG_DONE) {
      End(message->easy_handle, message->data.result);
    }
  }
}

void TransferPool::End(CURL* handle, CURLcode code) {
  const auto found = m_transfers.find(handle);
  const std::unique_ptr<Transfer> transfer = std::move(found->second);
  m_transfers.erase(found);
  if (transfer->reports) {
    m_by_attempt.erase(transfer->attempt);
    AttemptReply reply;
    if (code == CURLE_OK) {
      long status = 0;
      curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
      reply = DecodeTargetReply(transfer->attempt, status, transfer->reply);
    } else {
      reply.attempt = transfer->attempt;
      reply.status = FailureOf(handle, code);
    }
    if (transfer->cancelled) {
      reply.status = AttemptStatus::kCancelled;
    }
    Report(std::move(reply));
  }
  curl_multi_remove_handle(m_multi, handle);
  if (m_idle.size() < kMaxIdleHandles) {
    m_idle.push_back(std::move(transfer->handle));
  }
}

void TransferPool::Report(AttemptReply reply) {
  m_backlog.push_back(std::move(reply));
}

void TransferPool::Flush() {
  while (!m_backlog.empty() && m_sink(m_backlog.front())) {
    m_backlog.pop_front();
  }
}

void TransferPool::Wake() noexcept {
  curl_multi_wakeup(m_multi);
}

}  // namespace jacinthdeck::internal
