// Open loop over libcurl multi. Latency counts from the due time, so that time
// spent waiting for a free transfer is part of it.
#include "loadgen/load_run.h"

#include <jansson.h>

#include <algorithm>
#include <utility>

#include "loadgen/answer_reader.h"

namespace jacinthdeck::standins {

namespace {

constexpr long kDefaultTimeoutMs = 10000;
//! Time after its deadline at which a request without a reply counts as lost.
constexpr long kReplyGraceMs = 2000;
constexpr int kMaxPollMs = 20;

size_t AppendToString(char* data, size_t size, size_t count, void* body) {
  static_cast<std::string*>(body)->append(data, size * count);
  return size * count;
}

}  // namespace

/*! \brief State of one request in flight. libcurl holds pointers into it, so it
 * must not move. */
struct LoadRun::Transfer {
  ScheduledSend due;
  std::string url;
  std::string body;
  std::string reply;
  curl_slist* headers = nullptr;

  ~Transfer() { curl_slist_free_all(headers); }
};

LoadRun::LoadRun(LoadOptions options, std::vector<Endpoint> entries)
    : m_options(std::move(options)),
      m_entries(std::move(entries)),
      m_arrivals(m_options.rate,
                 m_options.arrivals == "poisson",
                 m_options.seed),
      m_multi(curl_multi_init()) {
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(m_options.in_flight));
}

LoadRun::~LoadRun() {
  for (const auto& [handle, transfer] : m_transfers) {
    curl_multi_remove_handle(m_multi, handle);
    curl_easy_cleanup(handle);
  }
  for (CURL* handle : m_idle_handles) {
    curl_easy_cleanup(handle);
  }
  curl_multi_cleanup(m_multi);
}

std::vector<Sample> LoadRun::Run() {
  m_start = std::chrono::steady_clock::now();
  m_next_arrival = m_arrivals.Next();
  const auto schedule_end = std::chrono::seconds(m_options.seconds);
  while (true) {
    const bool more_arrivals =
        m_scheduled_count < m_options.count && m_next_arrival < schedule_end;
    if (!more_arrivals && m_send_queue.empty() && m_transfers.empty()) {
      return std::move(m_samples);
    }
    StartDueRequests();
    int running = 0;
    curl_multi_perform(m_multi, &running);
    CollectFinished();
    curl_multi_poll(m_multi, nullptr, 0, PollTimeoutMs(), nullptr);
  }
}

void LoadRun::StartDueRequests() {
  const auto schedule_end = std::chrono::seconds(m_options.seconds);
  const Duration now = Elapsed();
  while (m_scheduled_count < m_options.count && m_next_arrival < schedule_end &&
         m_next_arrival <= now) {
    const std::uint64_t number = m_scheduled_count++;
    m_send_queue.push({m_next_arrival, number, m_next_arrival,
                       number % m_entries.size(), 0, RequestId(number)});
    m_next_arrival = m_arrivals.Next();
  }
  while (!m_send_queue.empty() && m_send_queue.top().at <= now &&
         m_transfers.size() < m_options.in_flight) {
    const ScheduledSend due = m_send_queue.top();
    m_send_queue.pop();
    StartTransfer(due);
  }
}

void LoadRun::StartTransfer(const ScheduledSend& due) {
  auto transfer = std::make_unique<Transfer>();
  transfer->due = due;
  transfer->url =
      "http://" + m_entries[due.entry].ToString() + "/v1/" + m_options.call;
  transfer->body = RequestBody(due.number);
  const auto add_header = [&](const std::string& header) {
    transfer->headers = curl_slist_append(transfer->headers, header.c_str());
  };
  add_header("Content-Type: application/json");
  if (!m_options.tenant.empty()) {
    add_header("X-Tenant: " + m_options.tenant);
  }
  if (!due.id.empty()) {
    add_header("X-Request-Id: " + due.id);
  }
  long timeout = kDefaultTimeoutMs;
  if (m_options.deadline_ms > 0) {
    add_header("X-Deadline-Ms: " + std::to_string(m_options.deadline_ms));
    timeout = static_cast<long>(m_options.deadline_ms) + kReplyGraceMs;
  }
  CURL* handle =
      m_idle_handles.empty() ? curl_easy_init() : m_idle_handles.back();
  if (!m_idle_handles.empty()) {
    m_idle_handles.pop_back();
    curl_easy_reset(handle);
  }
  curl_easy_setopt(handle, CURLOPT_URL, transfer->url.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, transfer->body.c_str());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(transfer->body.size()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendToString);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer->reply);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  if (m_options.fresh_connections) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_multi_add_handle(m_multi, handle);
  m_transfers.emplace(handle, std::move(transfer));
}

void LoadRun::CollectFinished() {
  int messages_left = 0;
  while (const CURLMsg* message =
             curl_multi_info_read(m_multi, &messages_left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* handle = message->easy_handle;
    const CURLcode code = message->data.result;
    const auto found = m_transfers.find(handle);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(m_multi, handle);
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    m_transfers.erase(found);
    m_idle_handles.push_back(handle);
    Sample sample;
    if (code == CURLE_OK) {
      ReadAnswer(status, transfer->reply, sample);
    } else {
      sample.outcome = code == CURLE_COULDNT_CONNECT ? LoadOutcome::kNotSent
                                                     : LoadOutcome::kLost;
      sample.reason = curl_easy_strerror(code);
    }
    if (ResendIfNotRun(*transfer, sample)) {
      continue;
    }
    sample.number = transfer->due.number;
    sample.due = transfer->due.first_due;
    sample.latency = Elapsed() - transfer->due.first_due;
    sample.resends = transfer->due.resends;
    m_samples.push_back(sample);
  }
}

bool LoadRun::ResendIfNotRun(const Transfer& transfer, const Sample& sample) {
  const bool not_run = sample.outcome == LoadOutcome::kNotSent ||
                       sample.outcome == LoadOutcome::kNotRun;
  if (!not_run || transfer.due.resends >= m_options.resends) {
    return false;
  }
  ScheduledSend resend = transfer.due;
  resend.entry = (resend.entry + 1) % m_entries.size();
  ++resend.resends;
  const bool resend_at_once =
      sample.outcome == LoadOutcome::kNotSent || sample.reason == "draining" ||
      sample.reason == "elsewhere" || sample.reason == "not_ready";
  resend.at =
      Elapsed() + (resend_at_once ? Duration::zero() : sample.retry_after);
  m_send_queue.push(resend);
  return true;
}

Duration LoadRun::Elapsed() const {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() -
                                              m_start);
}

int LoadRun::PollTimeoutMs() const {
  Duration wait = std::chrono::milliseconds(kMaxPollMs);
  const Duration now = Elapsed();
  if (m_scheduled_count < m_options.count) {
    wait = std::min(wait, m_next_arrival - now);
  }
  if (!m_send_queue.empty() && m_transfers.size() < m_options.in_flight) {
    wait = std::min(wait, m_send_queue.top().at - now);
  }
  // Rounds down: the loop polls without waiting just before a send is due, so
  // that the send does not start late.
  return static_cast<int>(std::max<Duration::rep>(0, wait.count() / 1000));
}

std::string LoadRun::RequestBody(std::uint64_t number) const {
  constexpr std::string_view kNumberPlaceholder = "{n}";
  std::string body = m_options.request;
  for (std::size_t at = body.find(kNumberPlaceholder); at != body.npos;
       at = body.find(kNumberPlaceholder, at)) {
    body.replace(at, kNumberPlaceholder.size(), std::to_string(number));
  }
  return body;
}

std::string LoadRun::RequestId(std::uint64_t number) const {
  if (!m_options.request_ids) {
    return "";
  }
  return "load-" + std::to_string(m_options.seed) + "-" +
         std::to_string(number);
}

}  // namespace jacinthdeck::standins
