// Small stand-ins on loopback for the cases of the second review: HTTP streams,
// the platform's store, servers, and the process under test.
#ifndef REVIEW_STANDINS_2_LOOPBACK_H_
#define REVIEW_STANDINS_2_LOOPBACK_H_

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

//! Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline void Sleep(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

/*! \brief Writes record.txt: one line with the time since the start an event.
 */
class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(path), m_start(Clock::now()) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    const double seconds =
        std::chrono::duration<double>(Clock::now() - m_start).count();
    char time[32];
    (void)std::snprintf(time, sizeof(time), "%8.3f ", seconds);
    m_file << time << text << "\n";
    m_file.flush();
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  Clock::time_point m_start;
};

/*! \brief Request or response. */
struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  [[nodiscard]] std::string Find(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (key.size() == name.size() &&
          std::equal(key.begin(), key.end(), name.begin(), [](char a, char b) {
            return std::tolower(static_cast<unsigned char>(a)) ==
                   std::tolower(static_cast<unsigned char>(b));
          })) {
        return value;
      }
    }
    return {};
  }
  //! Word of the start line: method, target, version or status.
  [[nodiscard]] std::string Word(int index) const {
    std::size_t at = 0;
    for (; index > 0 && at != start.npos; --index) {
      at = start.find(' ', at);
      at = at == start.npos ? at : at + 1;
    }
    return at == start.npos ? std::string()
                            : start.substr(at, start.find(' ', at) - at);
  }
  [[nodiscard]] int status() const { return std::atoi(Word(1).c_str()); }
};

/*! \brief A connection that reads and writes whole messages. */
class Stream {
 public:
  explicit Stream(int fd) : m_fd(fd) {
    const int on = 1;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  [[nodiscard]] static std::unique_ptr<Stream> Connect(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Stream>(fd);
  }

  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }

  [[nodiscard]] bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t done = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (done <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(done));
    }
    return true;
  }

  //! Reads one message with a Content-Length body; false if the connection
  //! ends or the time is up first.
  [[nodiscard]] bool Read(Message& message, int timeout_ms = 600'000) {
    const auto end = Clock::now() + milliseconds(timeout_ms);
    std::size_t head = 0;
    while ((head = m_buffer.find("\r\n\r\n")) == m_buffer.npos) {
      if (!Fill(end)) {
        return false;
      }
    }
    message = Message();
    std::size_t at = m_buffer.find("\r\n");
    message.start = m_buffer.substr(0, at);
    while (at < head) {
      const std::size_t line = at + 2;
      at = m_buffer.find("\r\n", line);
      const std::size_t colon = m_buffer.find(':', line);
      if (colon == m_buffer.npos || colon > at) {
        continue;
      }
      std::size_t value = colon + 1;
      while (value < at && m_buffer[value] == ' ') {
        ++value;
      }
      message.headers.emplace_back(m_buffer.substr(line, colon - line),
                                   m_buffer.substr(value, at - value));
    }
    const auto length = static_cast<std::size_t>(
        std::atoll(message.Find("Content-Length").c_str()));
    while (m_buffer.size() < head + 4 + length) {
      if (!Fill(end)) {
        return false;
      }
    }
    message.body = m_buffer.substr(head + 4, length);
    m_buffer.erase(0, head + 4 + length);
    return true;
  }

 private:
  [[nodiscard]] bool Fill(Clock::time_point end) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
    pollfd ready{m_fd, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
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

  int m_fd;
  std::string m_buffer;
};

/*! \brief Accepts connections on a free port; each has a thread of its own. */
class Listener {
 public:
  using Serve = std::function<void(Stream&)>;

  explicit Listener(Serve serve) : m_serve(std::move(serve)) {
    m_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(m_fd, generic, size) != 0 || listen(m_fd, 512) != 0 ||
        getsockname(m_fd, generic, &size) != 0) {
      std::perror("listen");
      std::exit(kCouldNotRun);
    }
    m_port = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  [[nodiscard]] int port() const { return m_port; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept(m_fd, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      std::thread([this, fd] {
        Stream stream(fd);
        m_serve(stream);
      }).detach();
    }
  }

  Serve m_serve;
  int m_fd = -1;
  int m_port = 0;
};

[[nodiscard]] inline std::string Response(int status,
                                          const std::string& headers,
                                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

[[nodiscard]] inline std::string Base64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t word = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      word = word << 8U |
             (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i])
                                    : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += at + i > bytes.size() ? '=' : kDigits[word >> (18 - 6 * i) & 63U];
    }
  }
  return text;
}

/*! \brief The platform's store: ranges, watches, transactions and leases. */
class Store {
 public:
  //! \param answer_ms Time that the store takes for an answer.
  explicit Store(int answer_ms = 0)
      : m_answer_ms(answer_ms),
        m_listener([this](Stream& stream) { Serve(stream); }) {
    std::thread([this] { ExpireLeases(); }).detach();
  }

  [[nodiscard]] int port() const { return m_listener.port(); }

  //! Writes a key as the operator or a server.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    PutEncoded(key, Base64(value), 0);
    m_changed.notify_all();
  }

  void Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    Erase(key);
    m_changed.notify_all();
  }

 private:
  struct Item {
    std::string value;
    json_int_t revision = 0;
    json_int_t lease = 0;
  };
  struct Event {
    std::string key;
    json_int_t revision = 0;
    bool deleted = false;
    Item item;
  };
  struct Lease {
    json_int_t ttl_ms = 0;
    Clock::time_point end;
  };

  void PutEncoded(const std::string& key,
                  const std::string& encoded,
                  json_int_t lease) {
    Item& item = m_items[key];
    item = {encoded, ++m_revision, lease};
    m_events.push_back({key, item.revision, false, item});
  }

  void Erase(const std::string& key) {
    if (m_items.erase(key) > 0) {
      m_events.push_back({key, ++m_revision, true, {}});
    }
  }

  void EndLease(json_int_t lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    std::ranges::for_each(keys, [&](const auto& key) { Erase(key); });
    m_changed.notify_all();
  }

  void ExpireLeases() {
    while (true) {
      Sleep(100);
      const std::lock_guard lock(m_mutex);
      std::vector<json_int_t> ended;
      for (const auto& [lease, state] : m_leases) {
        if (state.end < Clock::now()) {
          ended.push_back(lease);
        }
      }
      std::ranges::for_each(ended, [&](json_int_t id) { EndLease(id); });
    }
  }

  void Serve(Stream& stream) {
    Message request;
    while (stream.Read(request)) {
      int status = 200;
      json_t* reply = Answer(request, status);
      char* text = json_dumps(reply, JSON_COMPACT);
      const std::string body(text);
      std::free(text);
      json_decref(reply);
      Sleep(m_answer_ms);
      if (!stream.Write(
              Response(status, "Content-Type: application/json\r\n", body))) {
        return;
      }
    }
  }

  [[nodiscard]] static std::string Query(const std::string& target,
                                         const std::string& name) {
    for (const char* before : {"?", "&"}) {
      const std::size_t at = target.find(before + name + "=");
      if (at != target.npos) {
        const std::size_t begin = at + name.size() + 2;
        std::string value =
            target.substr(begin, target.find('&', begin) - begin);
        std::size_t percent = 0;
        while ((percent = value.find('%', percent)) != value.npos) {
          const std::string hex = value.substr(percent + 1, 2);
          value.replace(
              percent, 3, 1,
              static_cast<char>(std::strtol(hex.c_str(), nullptr, 16)));
          ++percent;
        }
        return value;
      }
    }
    return {};
  }

  [[nodiscard]] static json_t* ItemJson(const std::string& key,
                                        const Item& item) {
    return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", key.c_str(), "value",
                     item.value.c_str(), "revision", item.revision, "created",
                     item.revision, "leaseId", item.lease);
  }

  [[nodiscard]] json_t* Answer(const Message& request, int& status) {
    const std::string target = request.Word(1);
    if (target.starts_with("/-/kv-range")) {
      return Range(target);
    }
    if (target.starts_with("/-/kv-watch")) {
      return Watch(target);
    }
    json_t* body = json_loads(request.body.c_str(), 0, nullptr);
    json_t* reply = Change(target, body, status);
    json_decref(body);
    return reply;
  }

  [[nodiscard]] json_t* Range(const std::string& target) {
    constexpr std::size_t kPage = 500;
    const std::lock_guard lock(m_mutex);
    json_t* items = json_array();
    bool more = false;
    const std::string prefix = Query(target, "prefix");
    for (auto at = m_items.upper_bound(Query(target, "after"));
         at != m_items.end(); ++at) {
      if (!at->first.starts_with(prefix)) {
        continue;
      }
      more = json_array_size(items) == kPage;
      if (more) {
        break;
      }
      json_array_append_new(items, ItemJson(at->first, at->second));
    }
    return json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", more ? 1 : 0,
                     "readRev", m_revision);
  }

  [[nodiscard]] json_t* Watch(const std::string& target) {
    const json_int_t after = std::atoll(Query(target, "after").c_str());
    const auto end = Clock::now() +
                     milliseconds(std::atoll(Query(target, "waitMs").c_str()));
    std::unique_lock lock(m_mutex);
    (void)m_changed.wait_until(lock, end, [&] { return m_revision > after; });
    json_t* events = json_array();
    for (const Event& event : m_events) {
      if (event.revision > after) {
        json_array_append_new(
            events, event.deleted
                        ? json_pack("{s:s, s:I, s:b}", "key", event.key.c_str(),
                                    "revision", event.revision, "deleted", 1)
                        : ItemJson(event.key, event.item));
      }
    }
    return json_pack("{s:o, s:I}", "events", events, "readRev", m_revision);
  }

  [[nodiscard]] json_t* Change(const std::string& target,
                               const json_t* body,
                               int& status) {
    const std::lock_guard lock(m_mutex);
    if (target == "/-/kv-lease") {
      const json_int_t ttl = json_integer_value(json_object_get(body, "ttlMs"));
      m_leases[++m_last_lease] = {ttl, Clock::now() + milliseconds(ttl)};
      return json_pack("{s:I, s:I}", "leaseId", m_last_lease, "ttlMs", ttl);
    }
    const json_int_t id =
        std::atoll(target.substr(target.rfind('/') + 1).c_str());
    if (target.starts_with("/-/kv-keep/")) {
      const auto found = m_leases.find(id);
      if (found == m_leases.end()) {
        status = 404;
        return json_object();
      }
      found->second.end = Clock::now() + milliseconds(found->second.ttl_ms);
      return json_pack("{s:I}", "ttlMs", found->second.ttl_ms);
    }
    if (target.starts_with("/-/kv-lease-end/")) {
      EndLease(id);
      return json_object();
    }
    return Transaction(body, status);
  }

  [[nodiscard]] json_t* Transaction(const json_t* body, int& status) {
    std::size_t index = 0;
    json_t* row = nullptr;
    json_array_foreach(json_object_get(body, "precondition"), index, row) {
      const char* key = json_string_value(json_object_get(row, "key"));
      const auto found = m_items.find(key);
      const json_int_t revision =
          found == m_items.end() ? 0 : found->second.revision;
      if (revision != json_integer_value(json_object_get(row, "revision"))) {
        status = 412;
        return json_pack("{s:[]}", "items");
      }
    }
    json_array_foreach(json_object_get(body, "puts"), index, row) {
      const json_int_t lease =
          json_integer_value(json_object_get(row, "leaseId"));
      if (lease != 0 && !m_leases.contains(lease)) {
        status = 404;
        return json_object();
      }
    }
    json_array_foreach(json_object_get(body, "puts"), index, row) {
      PutEncoded(json_string_value(json_object_get(row, "key")),
                 json_string_value(json_object_get(row, "value")),
                 json_integer_value(json_object_get(row, "leaseId")));
    }
    json_array_foreach(json_object_get(body, "remove"), index, row) {
      Erase(json_string_value(row));
    }
    m_changed.notify_all();
    return json_pack("{s:I}", "revision", m_revision);
  }

  const int m_answer_ms;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  json_int_t m_revision = 1;
  json_int_t m_last_lease = 0;
  std::map<std::string, Item> m_items;
  std::deque<Event> m_events;
  std::map<json_int_t, Lease> m_leases;
  Listener m_listener;
};

/*! \brief Returns the entry of a server in the store. */
[[nodiscard]] inline std::string ServerEntry(const std::string& service,
                                             int port,
                                             const std::string& zone,
                                             int slots) {
  const auto born = std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return R"({"service":")" + service + R"(","address":"127.0.0.1:)" +
         std::to_string(port) + R"(","zone":")" + zone +
         R"(","version":"v1","slots":)" + std::to_string(slots) +
         R"(,"state":"ready","coldRemainingMs":0,"seq":1,"born":)" +
         std::to_string(born) + "}";
}

//! Returns ports that are free at the moment.
[[nodiscard]] inline std::vector<int> FreePorts(int count) {
  std::vector<int> sockets;
  std::vector<int> ports;
  for (int i = 0; i < count; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(fd, generic, size) != 0 || getsockname(fd, generic, &size) != 0) {
      std::perror("bind");
      std::exit(kCouldNotRun);
    }
    sockets.push_back(fd);
    ports.push_back(ntohs(address.sin_port));
  }
  std::ranges::for_each(sockets, [](int fd) { close(fd); });
  return ports;
}

/*! \brief Fills in the settings template as the platform does, with the
 * placeholders and sections that it uses. */
class Template {
 public:
  std::map<std::string, std::string> values;
  std::map<std::string, std::vector<std::string>> lists;

  [[nodiscard]] std::string Fill(std::string_view text,
                                 const std::string& entry = {},
                                 bool last = true) const {
    std::string filled;
    std::size_t open = 0;
    while ((open = text.find("{{")) != text.npos) {
      filled += text.substr(0, open);
      const std::size_t close = text.find("}}", open);
      std::string name(text.substr(open + 2, close - open - 2));
      text.remove_prefix(close + 2);
      if (name.starts_with('#')) {
        name.erase(0, 1);
        const std::string end = "{{/" + name + "}}";
        const std::size_t at = text.find(end);
        filled += FillSection(name, text.substr(0, at));
        text.remove_prefix(at + end.size());
      } else if (name == ",") {
        filled += last ? "" : ",";
      } else if (name == ".") {
        filled += entry;
      } else if (name.ends_with("|json")) {
        filled += "\"" + Value(name.substr(0, name.size() - 5)) + "\"";
      } else {
        filled += Value(name);
      }
    }
    return filled + std::string(text);
  }

 private:
  [[nodiscard]] std::string Value(const std::string& name) const {
    const auto found = values.find(name);
    return found == values.end() ? std::string() : found->second;
  }

  [[nodiscard]] std::string FillSection(const std::string& name,
                                        std::string_view text) const {
    std::string filled;
    if (const auto list = lists.find(name); list != lists.end()) {
      for (std::size_t i = 0; i < list->second.size(); ++i) {
        filled += Fill(text, list->second[i], i + 1 == list->second.size());
      }
      return filled;
    }
    const std::string value = Value(name);
    return value.empty() || value == "false" ? filled : Fill(text, value);
  }
};

/*! \brief One entry process, started with the command of the deploy file. */
class Daemon {
 public:
  //! Its settings are those that the template gives on a small deployment.
  Daemon(std::string folder, std::string name, int store_port)
      : m_folder(std::move(folder)),
        m_name(std::move(name)),
        m_store_port(store_port),
        m_ports(FreePorts(6)) {}
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  [[nodiscard]] int callers_port() const { return m_ports[0]; }
  [[nodiscard]] int ready_port() const { return m_ports[1]; }
  [[nodiscard]] int queries_port() const { return m_ports[5]; }

  //! Adds the address of the typed interface to the settings.
  void ServeQueries() { m_queries = true; }
  //! Sets the text of graceS, as the platform fills it in.
  void SetGrace(const std::string& seconds) { m_grace = seconds; }

  //! Fills in the settings file, as the platform does at each start and change.
  void WriteSettings() const {
    const auto at = [&](std::size_t i) {
      return "127.0.0.1:" + std::to_string(m_ports[i]);
    };
    Template settings;
    settings.values = {
        {"nodeName", m_name},
        {"zone", "akl-a"},
        {"ip", "127.0.0.1"},
        {"limits.cpuShare", "0.25"},
        {"limits.cores", "1"},
        {"limits.maxFds", "4100"},
        {"listenAddrs.front", at(0)},
        {"listenAddrs.ready", at(1)},
        {"listenAddrs.directory", at(2)},
        {"listenAddrs.control", at(3)},
        {"portRange.0", std::to_string(m_ports[4])},
        {"bootstrap", "true"},
        {"platform.address", "127.0.0.1:" + std::to_string(m_store_port)},
        {"bounds.drainMs", "3000"},
        {"bounds.configApplyMs", "3000"},
        {"bounds.graceS", m_grace},
        {"bounds.budgetRatio", "0.2"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.budgetExtra", "52"}};
    settings.lists["seeds"] = {at(3)};
    std::ifstream file("platform/settings.template.toml");
    std::string text{std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>()};
    if (text.empty()) {
      std::fputs("no template of the settings\n", stderr);
      std::_Exit(kCouldNotRun);
    }
    if (m_queries) {
      const std::string_view section = "[listen]\n";
      text.insert(text.find(section) + section.size(),
                  "queries = \"" + at(5) + "\"\n");
    }
    std::ofstream(SettingsPath()) << settings.Fill(text);
  }

  //! Starts the process with the settings file as it is.
  void Start() {
    const std::string path = SettingsPath();
    m_pid = fork();
    if (m_pid == 0) {
      // It must not outlive the case.
      (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("JACINTHDECK_SETTINGS", path.c_str(), 1);
      const std::string log = m_folder + "/" + m_name + ".log";
      (void)std::freopen(log.c_str(), "a", stdout);
      (void)std::freopen(log.c_str(), "a", stderr);
      execl("target/platform/jacinthdeckd", "target/platform/jacinthdeckd",
            nullptr);
      _exit(127);
    }
  }

  //! Waits until the process answers the platform's question with 200.
  [[nodiscard]] bool WaitReady(int timeout_ms) {
    const auto end = Clock::now() + milliseconds(timeout_ms);
    while (Clock::now() < end && !HasEnded()) {
      if (IsReady()) {
        return true;
      }
      Sleep(50);
    }
    return false;
  }

  [[nodiscard]] bool IsReady() const {
    Message answer;
    const auto stream = Stream::Connect(ready_port());
    return stream != nullptr &&
           stream->Write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           stream->Read(answer, 1000) && answer.status() == 200;
  }

  void Signal(int signal) const {
    if (m_pid > 0) {
      kill(m_pid, signal);
    }
  }

  [[nodiscard]] bool HasEnded() {
    if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
      m_pid = 0;
    }
    return m_pid == 0;
  }
  //! Exit code; -1 if it was ended by a signal.
  [[nodiscard]] int exit_code() const {
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
  }

  void Kill() {
    if (!HasEnded()) {
      kill(m_pid, SIGKILL);
      (void)waitpid(m_pid, &m_status, 0);
      m_pid = 0;
    }
  }

 private:
  [[nodiscard]] std::string SettingsPath() const {
    return m_folder + "/" + m_name + ".toml";
  }

  std::string m_folder;
  std::string m_name;
  int m_store_port;
  std::vector<int> m_ports;
  bool m_queries = false;
  std::string m_grace = "6";
  pid_t m_pid = 0;
  int m_status = 0;
};

//! Ends the case without waiting for the threads of its connections.
[[noreturn]] inline void End(Daemon& daemon, int code) {
  daemon.Kill();
  std::_Exit(code);
}

//! Whether the case brings about its disruption.
[[nodiscard]] inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

}  // namespace standin

#endif  // REVIEW_STANDINS_2_LOOPBACK_H_
