// Threads that make the decision thread's store calls.
#include "jacinthdeck/runtime/store_worker.h"

#include <utility>
#include <variant>

namespace jacinthdeck {

namespace {

constexpr std::size_t kQueue = 64;
constexpr auto kWait = std::chrono::milliseconds(50);

[[nodiscard]] StoreStatus StatusOf(const Error& error) noexcept {
  switch (error.code) {
    case ErrorCode::kRateLimited:
    case ErrorCode::kTooLarge:
    case ErrorCode::kInvalidArgument:
      return StoreStatus::kRefused;
    default:
      return StoreStatus::kNoReply;
  }
}

[[nodiscard]] StoreReply Read(StoreClient& client,
                              const StoreRequest& request) {
  StoreReply reply;
  reply.id = request.id;
  auto result = Capture([&] { return client.Get(request.key); });
  if (const Error* error = std::get_if<Error>(&result)) {
    reply.status = StatusOf(*error);
    return reply;
  }
  auto& item = std::get<std::optional<StoreItem>>(result);
  reply.status = item ? StoreStatus::kOk : StoreStatus::kNotFound;
  if (item) {
    reply.revision = item->revision;
    reply.items.push_back(std::move(*item));
  }
  return reply;
}

[[nodiscard]] StoreReply List(StoreClient& client,
                              const StoreRequest& request) {
  StoreReply reply;
  reply.id = request.id;
  auto result = Capture([&] { return client.List(request.key); });
  if (const Error* error = std::get_if<Error>(&result)) {
    reply.status = StatusOf(*error);
    return reply;
  }
  reply.status = StoreStatus::kOk;
  reply.items = std::move(std::get<std::vector<StoreItem>>(result));
  return reply;
}

[[nodiscard]] StoreReply CompareAndSwap(StoreClient& client,
                                        const StoreRequest& request) {
  StoreReply reply;
  reply.id = request.id;
  auto result = Capture([&] {
    return client.Put(
        StorePut{request.key, request.value, request.expected, std::nullopt});
  });
  if (const Error* error = std::get_if<Error>(&result)) {
    // Unavailable is the store's own refusal; without a usable reply the client
    // says unknown.
    reply.status = error->code == ErrorCode::kUnavailable
                       ? StoreStatus::kRefused
                       : StatusOf(*error);
    return reply;
  }
  const auto& write = std::get<StoreWrite>(result);
  reply.status = write.applied ? StoreStatus::kOk : StoreStatus::kConflict;
  reply.revision = write.revision;
  return reply;
}

}  // namespace

StoreReply MakeStoreCall(StoreClient& client, const StoreRequest& request) {
  switch (request.operation) {
    case StoreOperation::kRead:
      return Read(client, request);
    case StoreOperation::kList:
      return List(client, request);
    case StoreOperation::kCompareAndSwap:
      return CompareAndSwap(client, request);
  }
  return StoreReply{request.id, StoreStatus::kRefused, {}, {}};
}

StoreWorker::StoreWorker(StoreClient& client, Sink sink)
    : m_client(client),
      m_sink(std::move(sink)),
      m_reads(kQueue),
      m_writes(kQueue),
      m_reader([this] { Run(m_reads); }),
      m_writer([this] { Run(m_writes); }) {}

StoreWorker::~StoreWorker() {
  m_stop = true;
  m_reader.join();
  m_writer.join();
}

bool StoreWorker::TryPush(StoreRequest request) {
  BoundedRing<StoreRequest>& ring =
      request.operation == StoreOperation::kCompareAndSwap ? m_writes : m_reads;
  return ring.TryPush(std::move(request));
}

void StoreWorker::Run(BoundedRing<StoreRequest>& ring) {
  while (!m_stop) {
    for (const StoreRequest& request : ring.PopAll(kWait)) {
      m_sink(MakeStoreCall(m_client, request));
    }
  }
}

}  // namespace jacinthdeck
