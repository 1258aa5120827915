// Blocking implementations of the stand-ins.
#include "harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace review {

namespace {

constexpr double kHeartbeatMs = 1200;
const Clock::time_point g_start = Clock::now();
std::mutex g_record_mutex;
std::FILE* g_record = nullptr;
std::mutex g_hosts_mutex;
std::vector<Host*> g_hosts;

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(),
                         [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Base64(const std::string& bytes) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t i = 0; i < 3; ++i) {
      group = group << 8U |
              (i < count ? static_cast<unsigned char>(bytes[at + i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += i <= count ? kDigits[group >> (18 - 6 * i) & 63U] : '=';
    }
  }
  return text;
}

std::string Unbase64(const std::string& text) {
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char c : text) {
    unsigned digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = static_cast<unsigned>(c - 'A');
    } else if (c >= 'a' && c <= 'z') {
      digit = static_cast<unsigned>(c - 'a') + 26;
    } else if (c >= '0' && c <= '9') {
      digit = static_cast<unsigned>(c - '0') + 52;
    } else if (c == '+' || c == '/') {
      digit = c == '+' ? 62 : 63;
    } else {
      break;
    }
    group = group << 6U | digit;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

std::string Quoted(const std::string& text) {
  std::string json = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      json += '\\';
    }
    json += c;
  }
  return json + "\"";
}

//! JSON as far as the store's calls use it.
struct Json {
  std::string text;
  double number = 0;
  std::vector<Json> list;
  std::map<std::string, Json> fields;
};

class JsonParser {
 public:
  explicit JsonParser(const std::string& text) : m_text(text) {}

  Json Parse() {
    Json value;
    const char c = Peek();
    if (c == '{') {
      ++m_at;
      while (Peek() != '}' && m_at < m_text.size()) {
        const std::string name = String();
        (void)Peek();
        ++m_at;
        value.fields[name] = Parse();
        if (Peek() == ',') {
          ++m_at;
        }
      }
      ++m_at;
    } else if (c == '[') {
      ++m_at;
      while (Peek() != ']' && m_at < m_text.size()) {
        value.list.push_back(Parse());
        if (Peek() == ',') {
          ++m_at;
        }
      }
      ++m_at;
    } else if (c == '"') {
      value.text = String();
    } else {
      const std::size_t begin = m_at;
      while (m_at < m_text.size() &&
             std::strchr(",]} \n", m_text[m_at]) == nullptr) {
        ++m_at;
      }
      value.text = m_text.substr(begin, m_at - begin);
      value.number = std::atof(value.text.c_str());
    }
    return value;
  }

 private:
  char Peek() {
    while (m_at < m_text.size() &&
           std::isspace(static_cast<unsigned char>(m_text[m_at])) != 0) {
      ++m_at;
    }
    return m_at < m_text.size() ? m_text[m_at] : '\0';
  }
  std::string String() {
    std::string text;
    (void)Peek();
    for (++m_at; m_at < m_text.size() && m_text[m_at] != '"'; ++m_at) {
      if (m_text[m_at] == '\\') {
        ++m_at;
      }
      text += m_text[m_at];
    }
    ++m_at;
    return text;
  }

  const std::string& m_text;
  std::size_t m_at = 0;
};

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  std::stringstream rest(mark == target.npos ? "" : target.substr(mark + 1));
  for (std::string pair; std::getline(rest, pair, '&');) {
    const std::size_t equals = pair.find('=');
    std::string value;
    for (std::size_t at = equals + 1; equals != pair.npos && at < pair.size();
         ++at) {
      if (pair[at] == '%') {
        value += static_cast<char>(
            std::strtol(pair.substr(at + 1, 2).c_str(), nullptr, 16));
        at += 2;
      } else {
        value += pair[at];
      }
    }
    query[pair.substr(0, equals)] = value;
  }
  return query;
}

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - g_start)
      .count();
}

void SleepMs(double milliseconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(std::max(milliseconds, 0.0)));
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void OpenRecord(const std::string& folder) {
  g_record = std::fopen((folder + "/record.txt").c_str(), "w");
  if (g_record == nullptr) {
    CannotRun("record.txt cannot be written");
  }
  (void)signal(SIGPIPE, SIG_IGN);
}

void Record(const char* format, ...) {
  const std::lock_guard lock(g_record_mutex);
  std::fprintf(g_record, "%10.1f ", NowMs());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(g_record, format, arguments);
  va_end(arguments);
  std::fputc('\n', g_record);
  std::fflush(g_record);
}

void CannotRun(const std::string& reason) {
  std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
  {
    const std::lock_guard lock(g_hosts_mutex);
    for (Host* host : g_hosts) {
      if (host->pid() > 0) {
        kill(host->pid(), SIGKILL);
      }
    }
  }
  std::_Exit(2);
}

bool WaitFor(double timeout_ms, const std::function<bool()>& condition) {
  const double end = NowMs() + timeout_ms;
  while (!condition()) {
    if (NowMs() > end) {
      return false;
    }
    SleepMs(5);
  }
  return true;
}

std::string Message::Find(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (key == Lower(name)) {
      return value;
    }
  }
  return "";
}

Stream::~Stream() {
  close(m_fd);
}

bool Stream::Write(const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent =
        send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

bool Stream::Fill(double until_ms) {
  pollfd waiting{m_fd, POLLIN, 0};
  const double left = until_ms - NowMs();
  if (left <= 0 || poll(&waiting, 1, static_cast<int>(left) + 1) <= 0) {
    m_timed_out = true;
    return false;
  }
  char bytes[16384];
  const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  m_buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Stream::Read(Message& message, double timeout_ms) {
  const double until = NowMs() + timeout_ms;
  message = Message();
  std::size_t end = 0;
  while ((end = m_buffer.find("\r\n\r\n")) == m_buffer.npos) {
    if (!Fill(until)) {
      return false;
    }
  }
  std::stringstream head(m_buffer.substr(0, end));
  m_buffer.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  std::stringstream first(line.substr(0, line.find('\r')));
  first >> message.first >> message.second >> message.third;
  while (std::getline(head, line)) {
    line = line.substr(0, line.find('\r'));
    const std::size_t colon = line.find(':');
    if (colon != line.npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          Lower(line.substr(0, colon)),
          value == line.npos ? "" : line.substr(value));
    }
  }
  const auto length = static_cast<std::size_t>(
      std::atol(message.Find("Content-Length").c_str()));
  while (m_buffer.size() < length) {
    if (!Fill(until)) {
      return false;
    }
  }
  message.body = m_buffer.substr(0, length);
  m_buffer.erase(0, length);
  return true;
}

bool Stream::PeerClosed() {
  char byte = 0;
  const ssize_t count = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::unique_ptr<Stream> Connect(std::uint16_t port, double timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{
      static_cast<time_t>(timeout_ms / 1000),
      static_cast<suseconds_t>(static_cast<long>(timeout_ms * 1000) % 1000000)};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Stream>(fd);
}

std::uint16_t FreePort() {
  // Below the ports that the kernel gives to connections, and apart from those
  // of a program that runs beside this one.
  static std::atomic<int> next = 10000 + getpid() % 200 * 100;
  while (true) {
    const int port = next++;
    if (port >= 32000) {
      CannotRun("no free port");
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(static_cast<std::uint16_t>(port));
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return static_cast<std::uint16_t>(port);
    }
  }
}

Listener::Listener(std::uint16_t port, Serve serve) : m_port(port) {
  m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof(address);
  if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(m_fd, 512) != 0) {
    CannotRun("cannot listen");
  }
  getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_thread = std::thread([fd = m_fd, serve = std::move(serve)] {
    while (true) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      const int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([serve, stream = std::make_shared<Stream>(accepted)] {
        serve(stream);
      }).detach();
    }
  });
}

void Listener::Close() {
  if (m_fd >= 0) {
    shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    close(m_fd);
    m_fd = -1;
  }
}

Listener::~Listener() {
  Close();
}

Store::Store() {
  m_main.listener = std::make_unique<Listener>(
      0,
      [this](const std::shared_ptr<Stream>& stream) { Serve(stream, m_main); });
  m_expiry = std::thread([this] { ExpireLeases(); });
  m_expiry.detach();
}

std::uint16_t Store::AddPort() {
  m_gates.push_back(std::make_unique<Gate>());
  Gate& gate = *m_gates.back();
  gate.listener = std::make_unique<Listener>(
      0, [this, &gate](const std::shared_ptr<Stream>& stream) {
        Serve(stream, gate);
      });
  return gate.listener->port();
}

void Store::SetSilent(std::uint16_t port, bool silent) {
  for (const auto& gate : m_gates) {
    if (gate->listener->port() == port) {
      gate->silent = silent;
    }
  }
}

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Item item;
  item.value = value;
  ++m_revision;
  PutLocked(key, item);
  return m_revision;
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  ++m_revision;
  RemoveLocked(key);
}

std::vector<std::string> Store::Keys(const std::string& prefix) {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void Store::PutLocked(const std::string& key, Item item) {
  const auto known = m_items.find(key);
  item.revision = m_revision;
  item.created = known == m_items.end() ? m_revision : known->second.created;
  m_items[key] = item;
  m_events.push_back({key, false, item});
  m_changed.notify_all();
}

void Store::RemoveLocked(const std::string& key) {
  if (m_items.erase(key) == 0) {
    return;
  }
  Event event{key, true, {}};
  event.item.revision = m_revision;
  m_events.push_back(event);
  m_changed.notify_all();
}

void Store::ExpireLeases() {
  while (true) {
    SleepMs(20);
    const std::lock_guard lock(m_mutex);
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
      if (lease->second.until_ms > NowMs()) {
        ++lease;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, item] : m_items) {
        if (item.lease == lease->first) {
          keys.push_back(key);
        }
      }
      ++m_revision;
      for (const std::string& key : keys) {
        RemoveLocked(key);
      }
      lease = m_leases.erase(lease);
    }
  }
}

void Store::Serve(const std::shared_ptr<Stream>& stream, const Gate& gate) {
  Message request;
  while (stream->Read(request, 600000)) {
    if (gate.silent) {
      // Nothing of the call is done, and the connection returns nothing more.
      while (!stream->PeerClosed()) {
        SleepMs(20);
      }
      return;
    }
    const auto [status, body] = Handle(request);
    if (gate.silent) {
      while (!stream->PeerClosed()) {
        SleepMs(20);
      }
      return;
    }
    if (!stream->Write("HTTP/1.1 " + std::to_string(status) +
                       " X\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

std::pair<int, std::string> Store::Handle(const Message& request) {
  const std::string& target = request.second;
  const auto query = QueryOf(target);
  const auto get = [&](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  const auto item_json = [](const std::string& key, const Item& item) {
    return "{\"key\":" + Quoted(key) + ",\"value\":\"" + Base64(item.value) +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created\":" + std::to_string(item.created) +
           ",\"leaseId\":" + std::to_string(item.lease) + "}";
  };
  if (target.starts_with("/-/kv-watch")) {
    return Watch(get("prefix"),
                 std::strtoull(get("after").c_str(), nullptr, 10),
                 std::atof(get("waitMs").c_str()));
  }
  const std::lock_guard lock(m_mutex);
  if (target.starts_with("/-/kv-key")) {
    const auto found = m_items.find(get("key"));
    return found == m_items.end()
               ? std::pair(404, std::string("{}"))
               : std::pair(200, item_json(found->first, found->second));
  }
  if (target.starts_with("/-/kv-range")) {
    std::string items;
    bool more = false;
    int count = 0;
    for (const auto& [key, item] : m_items) {
      if (!key.starts_with(get("prefix")) ||
          (!get("after").empty() && key <= get("after"))) {
        continue;
      }
      if (++count > 500) {
        more = true;
        break;
      }
      items += (items.empty() ? "" : ",") + item_json(key, item);
    }
    return {200, "{\"items\":[" + items +
                     "],\"hasMore\":" + (more ? "true" : "false") +
                     ",\"readRev\":" + std::to_string(m_revision) + "}"};
  }
  if (target.starts_with("/-/kv-txn")) {
    return Transact(request.body);
  }
  if (target.starts_with("/-/kv-lease-end/")) {
    const std::uint64_t id = std::strtoull(target.c_str() + 16, nullptr, 10);
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end()) {
      return {404, "{}"};
    }
    lease->second.until_ms = 0;
    return {200, "{}"};
  }
  if (target.starts_with("/-/kv-lease")) {
    const Json body = JsonParser(request.body).Parse();
    const double ttl =
        body.fields.contains("ttlMs") ? body.fields.at("ttlMs").number : 1000;
    const std::uint64_t id = ++m_next_lease;
    m_leases[id] = {ttl, NowMs() + ttl};
    return {200, "{\"leaseId\":" + std::to_string(id) + ",\"ttlMs\":" +
                     std::to_string(static_cast<long>(ttl)) + "}"};
  }
  if (target.starts_with("/-/kv-keep/")) {
    const auto lease =
        m_leases.find(std::strtoull(target.c_str() + 11, nullptr, 10));
    if (lease == m_leases.end()) {
      return {404, "{}"};
    }
    lease->second.until_ms = NowMs() + lease->second.ttl_ms;
    return {200, "{\"ttlMs\":" +
                     std::to_string(static_cast<long>(lease->second.ttl_ms)) +
                     "}"};
  }
  return {400, "{}"};
}

std::pair<int, std::string> Store::Transact(const std::string& text) {
  Json body = JsonParser(text).Parse();
  std::string items;
  bool conflict = false;
  for (Json& row : body.fields["precondition"].list) {
    const auto found = m_items.find(row.fields["key"].text);
    const double revision = found == m_items.end()
                                ? 0
                                : static_cast<double>(found->second.revision);
    conflict |= revision != row.fields["revision"].number;
    if (found != m_items.end()) {
      items +=
          (items.empty() ? "" : ",") + std::string("{\"key\":") +
          Quoted(found->first) + ",\"value\":\"" + Base64(found->second.value) +
          "\",\"revision\":" + std::to_string(found->second.revision) + "}";
    }
  }
  if (conflict) {
    return {412, "{\"items\":[" + items + "]}"};
  }
  for (Json& put : body.fields["puts"].list) {
    const auto lease = static_cast<std::uint64_t>(put.fields["leaseId"].number);
    if (lease != 0 && !m_leases.contains(lease)) {
      return {404, "{}"};
    }
  }
  ++m_revision;
  for (Json& put : body.fields["puts"].list) {
    Item item;
    item.value = Unbase64(put.fields["value"].text);
    item.lease = static_cast<std::uint64_t>(put.fields["leaseId"].number);
    PutLocked(put.fields["key"].text, item);
  }
  for (const Json& key : body.fields["remove"].list) {
    RemoveLocked(key.text);
  }
  return {200, "{\"revision\":" + std::to_string(m_revision) + "}"};
}

std::pair<int, std::string> Store::Watch(const std::string& prefix,
                                         std::uint64_t after,
                                         double wait_ms) {
  std::unique_lock lock(m_mutex);
  const double until = NowMs() + wait_ms;
  while (true) {
    std::string events;
    for (const Event& event : m_events) {
      if (event.item.revision <= after || !event.key.starts_with(prefix)) {
        continue;
      }
      events += (events.empty() ? "" : ",") + std::string("{\"key\":") +
                Quoted(event.key) +
                ",\"revision\":" + std::to_string(event.item.revision);
      events +=
          event.deleted
              ? std::string(",\"deleted\":true}")
              : ",\"value\":\"" + Base64(event.item.value) +
                    "\",\"created\":" + std::to_string(event.item.created) +
                    ",\"leaseId\":" + std::to_string(event.item.lease) + "}";
    }
    const double left = until - NowMs();
    if (!events.empty() || left <= 0) {
      return {200, "{\"events\":[" + events +
                       "],\"readRev\":" + std::to_string(m_revision) + "}"};
    }
    m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(left));
  }
}

Registry::Registry(Store& store) : m_store(store) {
  m_thread = std::thread([this] {
    // Each server writes at a moment of its own.
    for (std::size_t turn = 0; !m_stop; ++turn) {
      std::size_t count = 1;
      {
        const std::lock_guard lock(m_mutex);
        count = std::max<std::size_t>(m_entries.size(), 1);
        if (!m_entries.empty()) {
          Write(std::next(m_entries.begin(),
                          static_cast<std::ptrdiff_t>(turn % count))
                    ->second);
        }
      }
      SleepMs(kHeartbeatMs / static_cast<double>(count));
    }
  });
}

Registry::~Registry() {
  m_stop = true;
  m_thread.join();
}

void Registry::Write(const ServerEntry& entry) {
  m_store.Put(
      "servers/" + entry.id,
      "{\"service\":\"" + entry.service + "\",\"address\":\"127.0.0.1:" +
          std::to_string(entry.port) + "\",\"zone\":\"" + entry.zone +
          "\",\"version\":\"v1\",\"slots\":" + std::to_string(entry.slots) +
          ",\"state\":\"" + entry.state +
          "\",\"coldRemainingMs\":0,\"seq\":" + std::to_string(++m_seq) + "}");
}

void Registry::Add(const ServerEntry& entry) {
  const std::lock_guard lock(m_mutex);
  m_entries[entry.id] = entry;
  Write(entry);
}

void Registry::SetState(const std::string& id, const std::string& state) {
  const std::lock_guard lock(m_mutex);
  m_entries.at(id).state = state;
  Write(m_entries.at(id));
}

void Registry::Remove(const std::string& id) {
  const std::lock_guard lock(m_mutex);
  m_entries.erase(id);
  m_store.Remove("servers/" + id);
}

Host::Host(const std::string& name,
           const std::string& zone,
           std::uint16_t store_port,
           const std::vector<std::string>& seeds,
           const std::string& extra_settings)
    : m_name(name),
      m_front(FreePort()),
      m_ready(FreePort()),
      m_directory(FreePort()),
      m_control(FreePort()),
      m_metrics(FreePort()),
      m_limits(FreePort()) {
  const char* folder = std::getenv("REVIEW_TMP");
  if (folder == nullptr) {
    CannotRun("REVIEW_TMP is not set");
  }
  m_settings = std::string(folder) + "/" + name + ".toml";
  std::string seed_list;
  for (const std::string& seed : seeds) {
    seed_list += (seed_list.empty() ? "\"" : ",\"") + seed + "\"";
  }
  const auto address = [](std::uint16_t port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
  };
  std::ofstream file(m_settings);
  file << "[host]\nname = \"" << name << "\"\nfailure_domain = \"" << zone
       << "\"\ncpu_share = 0.25\ncores = 1\ndescriptors = 4100\n\n"
       << "[listen]\ncallers = " << address(m_front)
       << "ready = " << address(m_ready)
       << "directory = " << address(m_directory)
       << "peers = " << address(m_control) << "metrics = " << address(m_metrics)
       << "\n[peers]\nseeds = [" << seed_list
       << "]\nfleet_starts = true\n\n[store]\naddress = " << address(store_port)
       << "\n[extra_attempts]\nratio = 0.2\nconstant = 56\nwindow_ms = 10000\n"
       << "\n"
       << extra_settings << "\n[shutdown]\ngrace_ms = 6000\n";
  file.close();
  const std::lock_guard lock(g_hosts_mutex);
  g_hosts.push_back(this);
}

std::string Host::seed() const {
  return "127.0.0.1:" + std::to_string(m_control);
}

void Host::Start() {
  const std::string log = m_settings + ".log";
  m_pid = fork();
  if (m_pid == 0) {
    // The daemon ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("JACINTHDECK_SETTINGS", m_settings.c_str(), 1);
    if (std::freopen(log.c_str(), "a", stdout) == nullptr ||
        std::freopen(log.c_str(), "a", stderr) == nullptr) {
      _exit(127);
    }
    execl("target/platform/jacinthdeckd", "target/platform/jacinthdeckd",
          static_cast<char*>(nullptr));
    _exit(127);
  }
}

void Host::Signal(int signal) {
  if (m_pid > 0 && kill(m_pid, signal) != 0) {
    Record("signal %d to %s failed", signal, m_name.c_str());
  }
}

bool Host::HasEnded() {
  if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
    m_pid = -1;
  }
  return m_pid < 0;
}

Host::~Host() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, &m_status, 0);
  }
  const std::lock_guard lock(g_hosts_mutex);
  std::erase(g_hosts, this);
}

bool Host::IsReady() const {
  const auto stream = Connect(m_ready, 500);
  Message reply;
  return stream != nullptr &&
         stream->Write("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n") &&
         stream->Read(reply, 1000) && reply.status() == 200;
}

std::vector<std::uint16_t> Host::Resolve() const {
  std::vector<std::uint16_t> ports;
  const auto stream = Connect(m_directory, 1000);
  Message reply;
  if (stream == nullptr ||
      !stream->Write("GET /-/resolve?name=shop.example&region=r&zone=z-a "
                     "HTTP/1.1\r\nHost: h\r\n\r\n") ||
      !stream->Read(reply, 1000) || reply.status() != 200) {
    return ports;
  }
  Json body = JsonParser(reply.body).Parse();
  for (const Json& address : body.fields["addrs"].list) {
    ports.push_back(static_cast<std::uint16_t>(
        std::atoi(address.text.c_str() + address.text.find(':') + 1)));
  }
  return ports;
}

Answer Ask(Stream& stream,
           const std::string& method,
           const std::string& target,
           const std::string& host,
           const std::string& id,
           int budget_ms,
           const std::string& body) {
  Answer answer;
  std::string request =
      method + " " + target + " HTTP/1.1\r\nHost: " + host +
      "\r\nX-Jacinthdeck-Request-Id: " + id +
      "\r\nX-Jacinthdeck-Deadline-Ms: " + std::to_string(budget_ms) + "\r\n";
  if (method != "GET") {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  request += "\r\n" + body;
  if (!stream.Write(request)) {
    return answer;
  }
  if (stream.Read(answer.message, budget_ms)) {
    answer.status = answer.message.status();
  }
  answer.timed_out = stream.timed_out();
  return answer;
}

std::string StampOf(const std::string& server, const std::string& id) {
  return "stamp." + server + "." + id;
}

std::string Response(int status,
                     const std::string& id,
                     const std::string& headers,
                     const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         (status == 200 ? " OK" : " Unavailable") +
         "\r\nX-Jacinthdeck-Request-Id: " + id + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
