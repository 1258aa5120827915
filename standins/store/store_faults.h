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
  kBusy,
  //! Every connection ends without a reply.
  kDrop,
  //! Calls are taken and never answered.
  kSilent,
};

//! Names of the outages in control messages.
inline constexpr NameTable<Outage, 4> kOutageNames{
    {"none", "busy", "drop", "silent"}};

/*! \brief What goes wrong now. */
struct StoreFaults {
  Outage outage = Outage::kNone;
  //! Added to every call.
  Duration delay{};
  //! Share of writes that take effect and lose their reply, 0 to 1.
  double lose_reply_share = 0;
};

/*! \brief Limits of the store, calls a second. */
struct StoreRates {
  double reads_per_second = 2000;
  double writes_per_second = 400;
};

/*! \brief Calls so far. */
struct StoreCounts {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t writes = 0;
  std::uint64_t renewals = 0;
  std::uint64_t limited = 0;
  std::uint64_t refused = 0;
  std::uint64_t replies_lost = 0;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_STORE_FAULTS_H_
