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
  kTarget,
  kHost,
  kConviction,
  kSchema,
  kIndex,
  kOther,
};

//! Names of the kinds, for logs.
inline constexpr NameTable<KeyKind, 7> kKeyKindNames{
    {"config", "target", "host", "conviction", "schema", "index", "other"}};

/*! \brief A key taken apart. */
struct KeyName {
  KeyKind kind = KeyKind::kOther;
  //! What follows the kind's prefix.
  std::string id;
};

/**
 * \brief Builds the store's calls and reads its replies and values.
 *
 * Holds no state and decides nothing.
 */
class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;

  [[nodiscard]] virtual KeyName ReadKey(std::string_view key) const = 0;
  [[nodiscard]] virtual std::string HostKey(const NodeId& host) const = 0;
  [[nodiscard]] virtual std::string ConvictionKey(
      Fingerprint fingerprint) const = 0;
  [[nodiscard]] virtual std::string SchemaKey() const = 0;
  [[nodiscard]] virtual std::string IndexKey(
      const std::string& service) const = 0;

  [[nodiscard]] virtual Result<std::shared_ptr<const RoutingConfig>> ReadConfig(
      const std::string& value) const = 0;
  [[nodiscard]] virtual Result<TargetEntry> ReadTarget(
      const std::string& id,
      const std::string& value) const = 0;
  [[nodiscard]] virtual Result<HostRecord> ReadHost(
      const std::string& value) const = 0;
  [[nodiscard]] virtual std::string WriteHost(const HostRecord& host) const = 0;

  /*! \brief Reads keys after one; an empty key begins at the first. */
  [[nodiscard]] virtual ClientRequest RangeCall(
      const std::string& after) const = 0;
  [[nodiscard]] virtual StorePage ReadPage(const ClientReply& reply) const = 0;

  /*! \brief Waits for changes after a revision. */
  [[nodiscard]] virtual ClientRequest WatchCall(std::uint64_t after,
                                                Duration wait) const = 0;
  [[nodiscard]] virtual WatchBatch ReadBatch(
      const ClientReply& reply) const = 0;

  [[nodiscard]] virtual ClientRequest GrantCall(Duration lifetime) const = 0;
  [[nodiscard]] virtual ClientRequest RenewCall(std::uint64_t lease) const = 0;
  [[nodiscard]] virtual ClientRequest EndCall(std::uint64_t lease) const = 0;
  [[nodiscard]] virtual ClientRequest WriteCall(
      const StoreWrite& write) const = 0;
  [[nodiscard]] virtual StoreAck ReadWrite(const ClientReply& reply) const = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_PLATFORM_CODEC_H_
