// From calls of the core to calls of the client and back.
#include "jacinthdeck/platform/store_call_runner.h"

#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace jacinthdeck {

namespace {

[[nodiscard]] Result<StoreReply> Read(StoreClient& client,
                                      const StoreRequest& request) {
  BOOST_LEAF_AUTO(item, client.Get(request.key));
  StoreReply reply;
  reply.status = item ? StoreStatus::kOk : StoreStatus::kNotFound;
  if (item) {
    reply.revision = item->revision;
    reply.items.push_back(std::move(*item));
  }
  return reply;
}

[[nodiscard]] Result<StoreReply> CompareAndSwap(StoreClient& client,
                                                const StoreRequest& request) {
  BOOST_LEAF_AUTO(write, client.Put({.key = request.key,
                                     .value = request.value,
                                     .previous = request.expected,
                                     .lease = std::nullopt}));
  StoreReply reply;
  reply.status = write.applied ? StoreStatus::kOk : StoreStatus::kConflict;
  reply.revision = write.revision;
  return reply;
}

[[nodiscard]] Result<StoreReply> List(StoreClient& client,
                                      const StoreRequest& request) {
  StoreReply reply;
  BOOST_LEAF_ASSIGN(reply.items, client.List(request.key));
  reply.status = StoreStatus::kOk;
  return reply;
}

[[nodiscard]] Result<StoreReply> Run(StoreClient& client,
                                     const StoreRequest& request) {
  switch (request.operation) {
    case StoreOperation::kRead:
      return Read(client, request);
    case StoreOperation::kCompareAndSwap:
      return CompareAndSwap(client, request);
    case StoreOperation::kList:
      break;
  }
  return List(client, request);
}

/*! \brief Ends that the store reported before it did anything. */
[[nodiscard]] StoreStatus StatusOf(const Error& error, bool writes) {
  const bool refused = error.code == ErrorCode::kRateLimited ||
                       error.code == ErrorCode::kTooLarge ||
                       (writes && error.code == ErrorCode::kUnavailable);
  return refused ? StoreStatus::kRefused : StoreStatus::kNoReply;
}

}  // namespace

StoreReply RunStoreCall(StoreClient& client, const StoreRequest& request) {
  auto captured = Capture([&] { return Run(client, request); });
  StoreReply reply;
  if (const auto* error = std::get_if<Error>(&captured)) {
    const bool writes = request.operation == StoreOperation::kCompareAndSwap;
    reply.status = StatusOf(*error, writes);
  } else {
    reply = std::get<0>(std::move(captured));
  }
  reply.id = request.id;
  return reply;
}

}  // namespace jacinthdeck
