// The platform's formats, as the discovery module needs them.
#ifndef JACINTHDECK_DISCOVERY_PLATFORM_CODEC_H_
#define JACINTHDECK_DISCOVERY_PLATFORM_CODEC_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/result.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/discovery/store_types.h"
#include "jacinthdeck/forward/routing_config.h"
#include "jacinthdeck/forward/target_entry.h"
#include "jacinthdeck/http/client_session.h"

namespace jacinthdeck {

/*! \brief What a key of the store holds. */
enum class KeyKind {
  kConfig,
  //! The operators want nothing sent to the targets of a failure domain.
  kEvacuation,
  kTarget,
  kHost,
  kConviction,
  kSchema,
  kIndex,
  kOther,
};

//! Names of the kinds, for logs.
inline constexpr NameTable<KeyKind, 8> kKeyKindNames{
    {"config", "evacuation", "target", "host", "conviction", "schema", "index",
     "other"}};

/*! \brief A key taken apart. */
struct ParsedKey {
  KeyKind kind = KeyKind::kOther;
  //! What follows the kind's prefix.
  std::string id;
};

/*! \brief A target's entry as it was read. */
struct ParsedTarget {
  TargetEntry entry;
  //! Time for which the target was cold when it wrote the entry.
  Duration cold_for{};
  //! What is wrong with a field that the entry can do without.
  std::optional<Error> problem;
};

/**
 * \brief Builds the store's calls and reads its replies and values.
 *
 * Holds no state and decides nothing.
 */
class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;

  [[nodiscard]] virtual ParsedKey ReadKey(std::string_view key) const = 0;
  [[nodiscard]] virtual std::string HostKey(const NodeId& host) const = 0;
  [[nodiscard]] virtual std::string ConvictionKey(
      Fingerprint fingerprint) const = 0;
  [[nodiscard]] virtual std::string SchemaKey() const = 0;
  [[nodiscard]] virtual std::string IndexKey(
      const std::string& service) const = 0;

  [[nodiscard]] virtual Result<std::shared_ptr<const RoutingConfig>> ReadConfig(
      const std::string& value) const = 0;
  /**
   * \brief Reads which failure domain an evacuation is for.
   *
   * Its key alone gives the order. Its value is not read: an order that
   * somebody wrote by hand must not fail for it.
   */
  [[nodiscard]] virtual Result<FailureDomain> ReadEvacuation(
      const std::string& id) const = 0;
  [[nodiscard]] virtual Result<ParsedTarget> ReadTarget(
      const std::string& id,
      const std::string& value) const = 0;
  [[nodiscard]] virtual Result<HostRecord> ReadHost(
      const std::string& value) const = 0;
  [[nodiscard]] virtual std::string WriteHost(const HostRecord& host) const = 0;

  /*! \brief Reads keys after one; an empty key begins at the first. */
  [[nodiscard]] virtual ClientRequest RangeCall(
      const std::string& after) const = 0;
  /**
   * \brief Reads a page.
   * \param current Era of a reply that names none; ReadWatchReply() and
   * ReadWriteReply() take it too.
   */
  [[nodiscard]] virtual StorePage ReadPage(const ClientReply& reply,
                                           StoreEra current) const = 0;

  /*! \brief Waits for changes after a revision. */
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
