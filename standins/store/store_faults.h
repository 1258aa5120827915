// Faults, rate limits and counts of the stand-in store.
#ifndef JACINTHDECK_STANDINS_STORE_STORE_FAULTS_H_
#define JACINTHDECK_STANDINS_STORE_STORE_FAULTS_H_

#include <cstdint>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief Kind of an outage, as a client sees it. */
enum class Outage {
  kNone,
  //! Every call is answered 503.
  kBusy,
  //! Every connection ends without a reply.
  kDrop,
  //! Calls are accepted and not answered.
  kSilent,
};

//! Names of the outages in control messages.
inline constexpr NameTable<Outage, 4> kOutageNames{
    {"none", "busy", "drop", "silent"}};

/*! \brief Faults that the store shows at present. */
struct StoreFaults {
  Outage outage = Outage::kNone;
  //! Delay added to every call.
  Duration delay{};
  //! Share, 0 to 1, of writes and lease calls that take effect and whose reply
  //! is lost.
  double lose_reply_share = 0;
  //! Watches are accepted and not answered, while other calls are.
  bool watches_unanswered = false;
};

/*! \brief Rate limits of the store, in calls per second. */
struct StoreRates {
  //! Limit on reads, watches and lease renewals together.
  double reads_per_second = 2000;
  //! Limit on transactions and on the other lease calls together.
  double writes_per_second = 400;
};

/*! \brief Counts of calls since the start. */
struct StoreCounts {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t writes = 0;
  std::uint64_t renewals = 0;
  //! Calls refused because of a rate limit.
  std::uint64_t limited = 0;
  //! Calls that arrived during an outage.
  std::uint64_t refused = 0;
  std::uint64_t replies_lost = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_STORE_FAULTS_H_
