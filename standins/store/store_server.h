// The platform's store over HTTP, with faults, limits and counts.
#ifndef JACINTHDECK_STANDINS_STORE_STORE_SERVER_H_
#define JACINTHDECK_STANDINS_STORE_STORE_SERVER_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

#include "http/http_message.h"
#include "http/http_server.h"
#include "jacinthdeck/core/random.h"
#include "store/kv_store.h"
#include "store/rate_limit.h"
#include "store/store_control.h"
#include "store/store_faults.h"

namespace jacinthdeck::standins {

/**
 * \brief Answers the store's calls as the platform's pages give them.
 *
 * Operators and targets write through `POST /control`, which faults do not
 * touch: what they see of the store is no matter of this project.
 */
class StoreServer {
 public:
  /**
   * \brief Opens the server.
   * \param port Port on 127.0.0.1; 0 lets the kernel pick.
   * \param clock Clock of leases and rates; outlives the server.
   * \param seed Seed of the random faults.
   */
  StoreServer(std::uint16_t port,
              const Clock& clock,
              const StoreRates& rates,
              std::uint64_t seed);
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return m_server.port(); }

  /*! \brief The content, for those who prepare it. */
  [[nodiscard]] KvStore& content() noexcept { return m_content; }

  [[nodiscard]] StoreCounts counts() const;
  [[nodiscard]] StoreFaults faults() const;

  /*! \brief Does what a control message asks for. */
  void Apply(const StoreControl& control);

 private:
  using CallHandler = HttpReply (StoreServer::*)(const HttpRequest&);
  struct Route;

  [[nodiscard]] HttpReply Handle(const HttpRequest& request);
  [[nodiscard]] HttpReply AnswerWithFaults(const HttpRequest& request);
  [[nodiscard]] HttpReply Dispatch(const HttpRequest& request);
  [[nodiscard]] HttpReply Get(const HttpRequest& request);
  [[nodiscard]] HttpReply Range(const HttpRequest& request);
  [[nodiscard]] HttpReply Watch(const HttpRequest& request);
  [[nodiscard]] HttpReply Write(const HttpRequest& request);
  [[nodiscard]] HttpReply Grant(const HttpRequest& request);
  [[nodiscard]] HttpReply Renew(const HttpRequest& request);
  [[nodiscard]] HttpReply Revoke(const HttpRequest& request);
  [[nodiscard]] HttpReply Control(const HttpRequest& request);
  [[nodiscard]] HttpReply Counts() const;
  [[nodiscard]] bool Admit(const Route& route);
  [[nodiscard]] bool ShouldLoseReply();

  const Clock& m_clock;
  KvStore m_content;
  mutable std::mutex m_mutex;
  StoreFaults m_faults;
  StoreCounts m_counts;
  RateLimit m_read_limit;
  RateLimit m_write_limit;
  Random m_random;
  std::atomic<bool> m_stopping = false;
  //! Last: it calls the members above from its first moment on.
  HttpServer m_server;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_STORE_SERVER_H_
