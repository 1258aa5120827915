// Finds requests that crash the targets that run them.
#ifndef JACINTHDECK_FORWARD_CRASH_GUARD_H_
#define JACINTHDECK_FORWARD_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/opaque_request.h"

namespace jacinthdeck {

/*! \brief Hashes what makes a request the same request when it comes again. */
[[nodiscard]] Fingerprint FingerprintOf(const OpaqueRequest& request);

/**
 * \brief Counts the connections that were lost under a request, by its
 * fingerprint.
 *
 * A caller repeats a request that got no answer. If the request itself crashes
 * its targets, the repeats take down one target after the other until none is
 * left. A request under which connections to several targets were lost, and
 * none answered, is refused for a while; one that got an answer anywhere is
 * cleared. Losses by other causes seldom hit the same request that often.
 */
class CrashGuard {
 public:
  //! Lost connections that convict a request.
  static constexpr std::uint32_t kLossesToConvict = 3;
  //! How long losses and convictions are remembered.
  static constexpr Duration kMemory = std::chrono::seconds(60);
  //! Fingerprints held at once; each is one failed request.
  static constexpr std::size_t kMostHeld = 4096;

  /*! \brief Tells whether a request is refused. */
  [[nodiscard]] bool IsConvicted(Fingerprint fingerprint, TimePoint now) const;

  /*! \brief Tells whether a connection was lost under it before. */
  [[nodiscard]] bool IsSuspect(Fingerprint fingerprint, TimePoint now) const;

  /**
   * \brief Takes a connection that was lost under a request.
   * \return True if that newly convicts it.
   */
  [[nodiscard]] bool OnLost(Fingerprint fingerprint, TimePoint now);

  /*! \brief Takes an answer to a request. */
  void OnAnswered(Fingerprint fingerprint);

  /*! \brief Takes another host's conviction. */
  void Convict(Fingerprint fingerprint, TimePoint now);

 private:
  struct Record {
    std::uint32_t losses = 0;
    TimePoint last;
  };

  void MakeRoom(TimePoint now);

  std::unordered_map<Fingerprint, Record> m_records;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_CRASH_GUARD_H_
