// The stand-in host list: it shows a file, late.
#ifndef JACINTHDECK_STANDINS_HOSTLIST_HOST_LIST_SERVER_H_
#define JACINTHDECK_STANDINS_HOSTLIST_HOST_LIST_SERVER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "http/http_message.h"
#include "http/http_server.h"
#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/result.h"

namespace jacinthdeck::standins {

/**
 * \brief Serves `GET /v1/hosts`.
 *
 * Changes become visible only after the lag. `POST /control` takes
 * `{"lag_ms":N}`, `{"states":{"ID":"leaving"}}`, `{"outage":true}` or a whole
 * `{"hosts":[...]}`.
 */
class HostListServer {
 public:
  /**
   * \brief Opens the server.
   * \param port Port on 127.0.0.1; 0 lets the kernel pick.
   * \param clock Clock of the lag; outlives the server.
   * \param lag Age of what is shown.
   */
  HostListServer(std::uint16_t port, const Clock& clock, Duration lag);

  [[nodiscard]] std::uint16_t port() const noexcept { return m_server.port(); }

  /**
   * \brief Replaces the list; the first one is visible at once.
   * \param text Host list as JSON.
   * \return True; kCorrupt for a list that is refused.
   */
  [[nodiscard]] Result<bool> Publish(const std::string& text);

 private:
  struct Published {
    TimePoint since;
    std::string text;
  };

  [[nodiscard]] HttpReply Handle(const HttpRequest& request);
  [[nodiscard]] HttpReply Hosts();
  [[nodiscard]] Result<bool> Control(const std::string& text);

  const Clock& m_clock;
  std::mutex m_mutex;
  Duration m_lag;
  bool m_outage = false;
  //! Oldest first; never empty once a list was published.
  std::deque<Published> m_lists;
  HttpServer m_server;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_HOSTLIST_HOST_LIST_SERVER_H_
