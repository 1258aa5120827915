// Faults that the stand-in store can be told to show.
#ifndef JACINTHDECK_STANDINS_STORE_STORE_FAULTS_H_
#define JACINTHDECK_STANDINS_STORE_STORE_FAULTS_H_

#include <cstdint>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief How an outage looks to a client. */
enum class Outage {
  kNone,
  //! Every call is answered 503.
  kRefuse,
  //! Every connection ends without a reply.
  kDrop,
};

//! Names of the outages in control messages.
inline constexpr NameTable<Outage, 3> kOutageNames{{"none", "refuse", "drop"}};

/*! \brief What goes wrong now. */
struct StoreFaults {
  Outage outage = Outage::kNone;
  //! Added to every call.
  Duration delay{};
  //! Writes that still take effect and then lose their reply.
  std::uint64_t lose_replies = 0;
  //! Share of writes that lose their reply, 0 to 1.
  double lose_reply_share = 0;
};

/*! \brief Limits of the store, calls a second. */
struct StoreRates {
  double reads = 2000;
  double writes = 400;
};

/*! \brief Calls so far, by kind; refused ones are counted in their kind too. */
struct StoreCounts {
  std::uint64_t gets = 0;
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t puts = 0;
  std::uint64_t deletes = 0;
  std::uint64_t leases = 0;
  std::uint64_t limited = 0;
  std::uint64_t refused = 0;
  std::uint64_t replies_lost = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_STORE_FAULTS_H_
