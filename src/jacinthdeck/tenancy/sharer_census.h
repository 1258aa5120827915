// Counts the hosts that share the limits, so that no host's share is too large.
#ifndef JACINTHDECK_TENANCY_SHARER_CENSUS_H_
#define JACINTHDECK_TENANCY_SHARER_CENSUS_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Fronts that are listed, and others that may still use a share.
 *
 * A host that left the list may not know it yet: it counts until it says that
 * it holds no share, or for kSharerMemory. A host that is cut off from the
 * store keeps an old list, and the others divide its share among them after
 * kSharerMemory. So a host uses its share only while more than half of the
 * fronts that it lists have answered it within kTouchTime, which is shorter.
 */
class SharerCensus {
 public:
  //! How long a host counts after the last sign of it.
  static constexpr Duration kSharerMemory = std::chrono::seconds(25);
  //! How long an answer shows that its host still counts this one.
  static constexpr Duration kTouchTime = std::chrono::seconds(20);

  explicit SharerCensus(HostId self);

  /*! \brief Sets the fronts, and the highest number of them lately. */
  void SetListed(std::span<const HostId> fronts,
                 std::uint32_t sharers,
                 TimePoint now);

  /*! \brief Notes that a host holds itself to be a front. */
  void OnSign(const HostId& host, TimePoint now);

  /*! \brief Notes that a host holds no share. */
  void OnRelease(const HostId& host);

  /*! \brief Notes that a request sent at this time was answered. */
  void OnAnswer(const HostId& host, TimePoint sent);

  /*! \brief Drops hosts of which there was no sign lately. */
  void Advance(TimePoint now);

  /*! \brief Returns among how many hosts the limits are divided; at least 1. */
  [[nodiscard]] std::uint32_t Count() const noexcept;

  /*! \brief Returns whether enough fronts have answered lately. */
  [[nodiscard]] bool InTouch(TimePoint now) const;

  /*! \brief Returns the hosts that may hold a share, without this one. */
  [[nodiscard]] std::vector<HostId> Others() const;

 private:
  struct Sharer {
    bool is_listed = false;
    TimePoint sign;
    TimePoint answered = TimePoint::min();
  };

  HostId m_self;
  std::uint32_t m_sharers = 1;
  //! Without this host.
  std::map<HostId, Sharer> m_others;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_SHARER_CENSUS_H_
