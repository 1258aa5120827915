// Messages are FlatBuffers (feed.fbs); the FlatBuffers verifier rejects damaged
// frames before they are read.
#include "jacinthdeck/peer/feed_message.h"

#include <feed_generated.h>
#include <zstd.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "jacinthdeck/peer/feed_frames.h"

namespace jacinthdeck {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

[[nodiscard]] std::string StringOrEmpty(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

//! Reads the position from a table's fields era and revision.
template <typename Table>
[[nodiscard]] StorePosition PositionOf(const Table& table) {
  return {StoreEra(table.era()), table.revision()};
}

[[nodiscard]] Offset<void> BuildBody(FlatBufferBuilder& builder,
                                     const FeedHello& hello) {
  const auto host = builder.CreateString(hello.host.raw());
  const auto record = builder.CreateString(hello.record);
  return wire::CreateHello(builder, host, hello.position.revision, record,
                           EraNumber(hello.position.era), hello.reads_packed,
                           hello.reads_parts)
      .Union();
}

[[nodiscard]] Offset<void> BuildChanges(FlatBufferBuilder& builder,
                                        const FeedChanges& changes,
                                        bool more) {
  std::vector<Offset<wire::Change>> built;
  built.reserve(changes.changes.size());
  for (const StoreChange& change : changes.changes) {
    const auto key = builder.CreateString(change.key);
    const std::string_view value =
        change.value ? std::string_view(*change.value) : std::string_view();
    const auto bytes = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
    built.push_back(wire::CreateChange(builder, key, change.position.revision,
                                       !change.value, bytes,
                                       EraNumber(change.position.era)));
  }
  const auto list = builder.CreateVector(built);
  return wire::CreateChanges(builder, changes.position.revision, changes.whole,
                             list, EraNumber(changes.position.era), more)
      .Union();
}

[[nodiscard]] Offset<void> BuildBody(FlatBufferBuilder& builder,
                                     const FeedChanges& changes) {
  return BuildChanges(builder, changes, false);
}

[[nodiscard]] Offset<void> BuildBody(FlatBufferBuilder& builder,
                                     const FeedPart& part) {
  return BuildChanges(builder, part.changes, true);
}

//! Value of a heartbeat's age field if no call to the store has succeeded yet.
constexpr std::uint32_t kNoContact = std::numeric_limits<std::uint32_t>::max();

[[nodiscard]] std::uint32_t EncodeAge(std::optional<Duration> age) {
  if (!age) {
    return kNoContact;
  }
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(milliseconds, 0, kNoContact - 1));
}

//! Encodes an unknown time as 0.
[[nodiscard]] std::uint32_t EncodeAvailability(
    std::optional<Duration> available_for) {
  return available_for ? std::max(EncodeAge(available_for), 1U) : 0U;
}

[[nodiscard]] std::optional<Duration> DecodeAvailability(std::uint32_t field) {
  if (field == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(field);
}

[[nodiscard]] std::optional<Duration> DecodeAge(std::uint32_t field) {
  if (field == kNoContact) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(field);
}

[[nodiscard]] Offset<void> BuildBody(FlatBufferBuilder& builder,
                                     const FeedHeartbeat& heartbeat) {
  return wire::CreateBeat(builder, heartbeat.position.revision,
                          EncodeAge(heartbeat.age), heartbeat.store_away,
                          EraNumber(heartbeat.position.era),
                          EncodeAvailability(heartbeat.available_for))
      .Union();
}

[[nodiscard]] wire::Body BodyTypeOf(const FeedMessage& message) {
  constexpr wire::Body kBodyTypes[] = {wire::Body::Hello, wire::Body::Changes,
                                       wire::Body::Beat, wire::Body::Changes};
  return kBodyTypes[message.index()];
}

[[nodiscard]] FeedChanges DecodeChanges(const wire::Changes& wire_changes) {
  FeedChanges changes;
  changes.position = PositionOf(wire_changes);
  changes.whole = wire_changes.whole();
  if (wire_changes.changes() == nullptr) {
    return changes;
  }
  for (const wire::Change* change : *wire_changes.changes()) {
    StoreChange store_change;
    store_change.key = StringOrEmpty(change->key());
    store_change.position = PositionOf(*change);
    if (!change->removed()) {
      const auto* value = change->value();
      store_change.value = value == nullptr
                               ? std::string()
                               : std::string(value->begin(), value->end());
    }
    changes.changes.push_back(std::move(store_change));
  }
  return changes;
}

//! Smaller messages gain nothing by compression.
constexpr std::size_t kMinCompressibleBytes = 1024;
//! The fastest level: a feeder compresses each change while callers wait.
constexpr int kCompressionLevel = 1;

[[nodiscard]] std::string_view BytesOf(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

//! Replaces the message by a Packed message that holds it compressed. Leaves it
//! unchanged if the compression fails.
void Compress(FlatBufferBuilder& builder) {
  std::string packed(ZSTD_compressBound(builder.GetSize()), '\0');
  const std::size_t size =
      ZSTD_compress(packed.data(), packed.size(), builder.GetBufferPointer(),
                    builder.GetSize(), kCompressionLevel);
  if (ZSTD_isError(size) != 0) {
    return;
  }
  const std::uint32_t plain = builder.GetSize();
  builder.Clear();
  const auto bytes = builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(packed.data()), size);
  builder.Finish(
      wire::CreateMessage(builder, wire::Body::Packed,
                          wire::CreatePacked(builder, plain, bytes).Union()));
}

[[nodiscard]] Result<std::string> Decompress(const wire::Packed& packed,
                                             std::size_t max_bytes) {
  // The size is allocated as the sender states it. The bound keeps a forged
  // size from exhausting the memory.
  if (packed.size() > max_bytes || packed.bytes() == nullptr) {
    return Fail(ErrorCode::kCorrupt, "feed",
                "has no compressed bytes, or declares too large a size");
  }
  std::string plain(packed.size(), '\0');
  const std::size_t size =
      ZSTD_decompress(plain.data(), plain.size(), packed.bytes()->data(),
                      packed.bytes()->size());
  if (ZSTD_isError(size) != 0 || size != plain.size()) {
    return Fail(ErrorCode::kCorrupt, "feed", "cannot be decompressed");
  }
  return plain;
}

[[nodiscard]] Result<const wire::Message*> Verify(std::string_view frame) {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(frame.data());
  flatbuffers::Verifier verifier(bytes, frame.size());
  if (!wire::VerifyMessageBuffer(verifier)) {
    return Fail(ErrorCode::kCorrupt, "feed", "holds no valid message");
  }
  return wire::GetMessage(bytes);
}

[[nodiscard]] Result<FeedMessage> DecodeBody(const wire::Message& message) {
  if (const auto* hello = message.body_as_Hello()) {
    return FeedMessage(FeedHello{HostId(StringOrEmpty(hello->host())),
                                 PositionOf(*hello),
                                 StringOrEmpty(hello->record()),
                                 hello->reads_packed(), hello->reads_parts()});
  }
  if (const auto* changes = message.body_as_Changes()) {
    FeedChanges decoded = DecodeChanges(*changes);
    return changes->more() ? FeedMessage(FeedPart{std::move(decoded)})
                           : FeedMessage(std::move(decoded));
  }
  if (const auto* heartbeat = message.body_as_Beat()) {
    return FeedMessage(
        FeedHeartbeat{PositionOf(*heartbeat), DecodeAge(heartbeat->age_ms()),
                      heartbeat->store_away(),
                      DecodeAvailability(heartbeat->available_ms())});
  }
  return Fail(ErrorCode::kCorrupt, "feed", "has a body of an unknown type");
}

}  // namespace

std::string EncodeFeedMessage(const FeedMessage& message,
                              FeedCompression compression) {
  FlatBufferBuilder builder;
  const Offset<void> body = std::visit(
      [&](const auto& body_message) {
        return BuildBody(builder, body_message);
      },
      message);
  builder.Finish(wire::CreateMessage(builder, BodyTypeOf(message), body));
  if (compression == FeedCompression::kZstd &&
      builder.GetSize() >= kMinCompressibleBytes) {
    Compress(builder);
  }
  // The size prefix of FlatBuffers is not used: it shifts the alignment, which
  // the verifier checks on the frame without its prefix.
  std::string frame = EncodeFrameLength(builder.GetSize());
  frame += BytesOf(builder);
  return frame;
}

Result<FeedMessage> DecodeFeedMessage(std::string_view frame,
                                      std::size_t max_bytes) {
  BOOST_LEAF_AUTO(message, Verify(frame));
  const auto* packed = message->body_as_Packed();
  if (packed == nullptr) {
    return DecodeBody(*message);
  }
  BOOST_LEAF_AUTO(plain, Decompress(*packed, max_bytes));
  // Only one level of compression is accepted: DecodeBody() rejects a Packed
  // message inside another one.
  BOOST_LEAF_AUTO(inner, Verify(plain));
  return DecodeBody(*inner);
}

}  // namespace jacinthdeck
