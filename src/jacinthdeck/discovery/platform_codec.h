// Interface to the formats of the platform's store.
#ifndef JACINTHDECK_DISCOVERY_PLATFORM_CODEC_H_
#define JACINTHDECK_DISCOVERY_PLATFORM_CODEC_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/discovery/store_types.h"
#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/forward/target_entry.h"
#include "jacinthdeck/http/client_session.h"

namespace jacinthdeck {

/*! \brief Kind of value that a key of the store holds. */
enum class KeyKind {
  kConfig,
  //! Order to send no requests to the targets of a failure domain.
  kEvacuation,
  kTarget,
  kHost,
  //! Fingerprint of a request that crashes its targets; the value names the
  //! service of the target under its probe.
  kQuarantine,
  //! Fingerprint of a request that a target ended under; the value names the
  //! service of the target.
  kSuspect,
  kSchema,
  kIndex,
  kOther,
};

//! Names of the kinds, for logs; kQuarantine is written as "conviction".
inline constexpr NameTable<KeyKind, 9> kKeyKindNames{
    {"config", "evacuation", "target", "host", "conviction", "suspect",
     "schema", "index", "other"}};

/*! \brief A parsed key. */
struct ParsedKey {
  KeyKind kind = KeyKind::kOther;
  //! Part of the key after the prefix of its kind.
  std::string id;
};

/*! \brief A decoded target entry. */
struct ParsedTarget {
  TargetEntry entry;
  //! Remaining cold time of the target when it wrote the entry.
  Duration cold_for{};
  //! Error in an optional field; the entry is usable without it.
  std::optional<Error> problem;
};

/**
 * \brief Builds requests to the store and parses its replies and values.
 *
 * Implementations have no state and contain no discovery logic.
 */
class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;

  [[nodiscard]] virtual ParsedKey ReadKey(std::string_view key) const = 0;
  [[nodiscard]] virtual std::string HostKey(const HostId& host) const = 0;
  [[nodiscard]] virtual std::string QuarantineKey(
      Fingerprint fingerprint) const = 0;
  [[nodiscard]] virtual std::string SuspectKey(
      Fingerprint fingerprint) const = 0;
  [[nodiscard]] virtual std::string SchemaKey() const = 0;
  [[nodiscard]] virtual std::string IndexKey(
      const std::string& service) const = 0;

  [[nodiscard]] virtual Result<std::shared_ptr<const RoutingConfig>> ReadConfig(
      const std::string& value) const = 0;
  /*! \brief Returns the errors of a configuration; empty if ReadConfig()
   * accepts it. */
  [[nodiscard]] virtual std::vector<Error> CheckConfig(
      const std::string& value) const = 0;
  /**
   * \brief Parses the failure domain of an evacuation from its key.
   *
   * The value is ignored, so that an evacuation that an operator wrote by hand
   * cannot fail because of it.
   */
  [[nodiscard]] virtual Result<FailureDomain> ReadEvacuation(
      const std::string& id) const = 0;
  [[nodiscard]] virtual Result<ParsedTarget> ReadTarget(
      const std::string& id,
      const std::string& value) const = 0;
  [[nodiscard]] virtual Result<HostRecord> ReadHost(
      const std::string& value) const = 0;
  [[nodiscard]] virtual std::string WriteHost(const HostRecord& host) const = 0;

  /*! \brief Builds a request for a page of keys after a key; an empty key
   * begins at the first. */
  [[nodiscard]] virtual ClientRequest RangeCall(
      const std::string& after) const = 0;
  /**
   * \brief Parses a page of keys.
   * \param current Era to assume for a reply that names none; also for
   * ReadWatchReply() and ReadWriteReply().
   */
  [[nodiscard]] virtual StorePage ReadPage(const ClientReply& reply,
                                           StoreEra current) const = 0;

  /*! \brief Builds a request that waits for changes after a revision. */
  [[nodiscard]] virtual ClientRequest WatchCall(std::uint64_t after,
                                                Duration wait) const = 0;
  [[nodiscard]] virtual WatchBatch ReadWatchReply(const ClientReply& reply,
                                                  StoreEra current) const = 0;

  [[nodiscard]] virtual ClientRequest GrantCall(Duration lifetime) const = 0;
  [[nodiscard]] virtual ClientRequest RenewCall(std::uint64_t lease) const = 0;
  [[nodiscard]] virtual ClientRequest EndCall(std::uint64_t lease) const = 0;
  [[nodiscard]] virtual ClientRequest WriteCall(
      const StoreWrite& write) const = 0;
  [[nodiscard]] virtual StoreAck ReadWriteReply(const ClientReply& reply,
                                                StoreEra current) const = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_PLATFORM_CODEC_H_
