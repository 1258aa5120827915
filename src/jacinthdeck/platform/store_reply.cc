// Shape of the store's replies.
#include "jacinthdeck/platform/store_reply.h"

#include <cstdint>
#include <limits>

#include "jacinthdeck/core/json.h"
#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::internal {

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

[[nodiscard]] Result<StoreItem> ReadItem(const JsonReader& json) {
  StoreItem item;
  BOOST_LEAF_ASSIGN(item.key, json.String("key"));
  BOOST_LEAF_ASSIGN(item.value, json.String("value"));
  BOOST_LEAF_AUTO(revision, json.Unsigned("revision", kMaxNumber));
  item.revision = StoreRevision(revision);
  if (item.revision == kNoRevision) {
    return Fail(ErrorCode::kCorrupt, json.path() + ".revision",
                "is 0 for a key that exists");
  }
  return item;
}

Result<StoreItem> ReadStoreItem(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "store reply"));
  return ReadItem(JsonReader(json.get(), "store reply"));
}

Result<std::vector<StoreItem>> ReadStoreItems(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "store reply"));
  const JsonReader reply(json.get(), "store reply");
  BOOST_LEAF_AUTO(elements, reply.Array("items"));
  std::vector<StoreItem> items;
  for (const JsonReader& element : elements) {
    BOOST_LEAF_AUTO(item, ReadItem(element));
    items.push_back(item);
  }
  return items;
}

Result<StoreRevision> ReadStoreRevision(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "store reply"));
  const JsonReader reply(json.get(), "store reply");
  BOOST_LEAF_AUTO(revision, reply.Unsigned("revision", kMaxNumber));
  return StoreRevision(revision);
}

Result<LeaseId> ReadLease(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "store reply"));
  const JsonReader reply(json.get(), "store reply");
  BOOST_LEAF_AUTO(lease, reply.Unsigned("lease", kMaxNumber));
  return LeaseId(lease);
}

}  // namespace jacinthdeck::internal
