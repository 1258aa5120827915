// Stand-ins for the platform's store, for servers and for clients, and the
// start of the project's daemon as a separate process. Blocking sockets, one
// thread per connection, loopback only.
#ifndef REVIEW_STANDINS_HARNESS_H_
#define REVIEW_STANDINS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/*! \brief Milliseconds since the program started. */
double NowMs();
void SleepMs(double milliseconds);
/*! \brief Returns whether the disruption is switched on (TROUBLE is not 0). */
bool Trouble();

/*! \brief Appends one line to record.txt in the folder of the case. */
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));
/*! \brief Opens record.txt in a folder. */
void OpenRecord(const std::string& folder);

struct Message {
  //! Method, target and version, or version, status and reason.
  std::string first, second, third;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  [[nodiscard]] std::string Find(const std::string& name) const;
  [[nodiscard]] int status() const { return std::atoi(second.c_str()); }
};

/*! \brief A connected socket with a read buffer. */
class Stream {
 public:
  explicit Stream(int fd) : m_fd(fd) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  [[nodiscard]] int fd() const { return m_fd; }
  bool Write(const std::string& bytes);
  /*! \brief Reads a request or a response with a Content-Length. Returns false
   * if the connection ended or the time ran out first. */
  bool Read(Message& message, double timeout_ms);
  /*! \brief Returns whether the peer has closed or reset the connection. */
  [[nodiscard]] bool PeerClosed();
  [[nodiscard]] bool timed_out() const { return m_timed_out; }

 private:
  bool Fill(double until_ms);

  int m_fd;
  std::string m_buffer;
  bool m_timed_out = false;
};

/*! \brief Opens a connection to a port on 127.0.0.1; null if it is refused. */
std::unique_ptr<Stream> Connect(std::uint16_t port, double timeout_ms);
/*! \brief Returns a port that is free at the moment. */
std::uint16_t FreePort();

/*! \brief Accepts connections and serves each in a thread of its own. */
class Listener {
 public:
  using Serve = std::function<void(const std::shared_ptr<Stream>&)>;
  Listener(std::uint16_t port, Serve serve);
  ~Listener();
  [[nodiscard]] std::uint16_t port() const { return m_port; }
  /*! \brief Stops to accept; connections that are open stay open. */
  void Close();

 private:
  std::uint16_t m_port;
  int m_fd;
  std::thread m_thread;
};

/*! \brief The platform's key-value store: items, leases, watches. */
class Store {
 public:
  Store();
  [[nodiscard]] std::uint16_t port() const { return m_main.listener->port(); }
  /*! \brief Writes an item as an operator or a server does. */
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  [[nodiscard]] std::vector<std::string> Keys(const std::string& prefix);
  /*! \brief Opens a further port to the same store, for one host. */
  std::uint16_t AddPort();
  /*! \brief Turns away all calls at a port that AddPort() returned: they get no
   * response, also those that wait. */
  void SetSilent(std::uint16_t port, bool silent);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    double ttl_ms = 0;
    double until_ms = 0;
  };
  struct Event {
    std::string key;
    bool deleted = false;
    Item item;
  };

  struct Gate {
    std::atomic<bool> silent = false;
    std::unique_ptr<Listener> listener;
  };

  void Serve(const std::shared_ptr<Stream>& stream, const Gate& gate);
  std::pair<int, std::string> Handle(const Message& request);
  std::pair<int, std::string> Transact(const std::string& body);
  std::pair<int, std::string> Watch(const std::string& prefix,
                                    std::uint64_t after,
                                    double wait_ms);
  void PutLocked(const std::string& key, Item item);
  void RemoveLocked(const std::string& key);
  void ExpireLeases();

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::map<std::uint64_t, Lease> m_leases;
  std::deque<Event> m_events;
  std::uint64_t m_revision = 100;
  std::uint64_t m_next_lease = 7000;
  Gate m_main;
  std::vector<std::unique_ptr<Gate>> m_gates;
  std::thread m_expiry;
};

/*! \brief What a server needs to be known: its entry under servers/ID. */
struct ServerEntry {
  std::string id, service, zone, state = "ready";
  std::uint16_t port = 0;
  int slots = 2;
};

/*! \brief Keeps the entries of servers in the store, with a new seq about every
 * heartbeat. */
class Registry {
 public:
  explicit Registry(Store& store);
  ~Registry();
  void Add(const ServerEntry& entry);
  void SetState(const std::string& id, const std::string& state);
  void Remove(const std::string& id);

 private:
  void Write(const ServerEntry& entry);

  Store& m_store;
  std::mutex m_mutex;
  std::map<std::string, ServerEntry> m_entries;
  std::uint64_t m_seq = 1;
  std::atomic<bool> m_stop = false;
  std::thread m_thread;
};

/*! \brief One host: the project's daemon as the deploy file runs it. */
class Host {
 public:
  /*! \brief Writes the settings as the template gives them and starts the
   * daemon. */
  Host(const std::string& name,
       const std::string& zone,
       std::uint16_t store_port,
       const std::vector<std::string>& seeds,
       const std::string& extra_settings = "");
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  [[nodiscard]] const std::string& name() const { return m_name; }
  [[nodiscard]] std::uint16_t front() const { return m_front; }
  [[nodiscard]] std::uint16_t directory() const { return m_directory; }
  [[nodiscard]] std::uint16_t ready() const { return m_ready; }
  [[nodiscard]] std::string seed() const;
  [[nodiscard]] pid_t pid() const { return m_pid; }
  void Start();
  void Signal(int signal);
  /*! \brief Returns whether the process has ended. */
  bool HasEnded();
  [[nodiscard]] int exit_status() const { return m_status; }
  /*! \brief GET /-/ready; true for a 200. */
  [[nodiscard]] bool IsReady() const;
  /*! \brief GET /-/resolve; the ports of the addresses it names. */
  [[nodiscard]] std::vector<std::uint16_t> Resolve() const;

 private:
  std::string m_name;
  std::uint16_t m_front, m_ready, m_directory, m_control, m_metrics, m_limits;
  std::string m_settings;
  pid_t m_pid = -1;
  int m_status = 0;
};

/*! \brief How a request ended for its client. */
struct Answer {
  //! 0 if the connection ended without a complete answer, -1 if it was refused.
  int status = 0;
  bool timed_out = false;
  Message message;
};

/*! \brief Sends one request on a connection and waits for the answer. */
Answer Ask(Stream& stream,
           const std::string& method,
           const std::string& target,
           const std::string& host,
           const std::string& id,
           int budget_ms,
           const std::string& body = "");

/*! \brief A stamp that names the server and the request. */
std::string StampOf(const std::string& server, const std::string& id);
/*! \brief Writes a response of a server; echoes the id. */
std::string Response(int status,
                     const std::string& id,
                     const std::string& headers,
                     const std::string& body);

/*! \brief Waits until a condition holds; false after the time. */
bool WaitFor(double timeout_ms, const std::function<bool()>& condition);

/*! \brief Ends with exit code 2: the case could not run. */
[[noreturn]] void CannotRun(const std::string& reason);

}  // namespace review

#endif  // REVIEW_STANDINS_HARNESS_H_
