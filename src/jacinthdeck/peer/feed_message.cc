// FlatBuffers do the layout; the verifier keeps damaged frames out.
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

[[nodiscard]] std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

//! The position that a table's two fields give.
template <typename Table>
[[nodiscard]] StorePosition PositionOf(const Table& table) {
  return {StoreEra(table.era()), table.revision()};
}

[[nodiscard]] Offset<void> Build(FlatBufferBuilder& builder,
                                 const FeedHello& hello) {
  const auto host = builder.CreateString(hello.host.raw());
  const auto record = builder.CreateString(hello.record);
  return wire::CreateHello(builder, host, hello.position.revision, record,
                           EraNumber(hello.position.era), hello.reads_packed)
      .Union();
}

[[nodiscard]] Offset<void> Build(FlatBufferBuilder& builder,
                                 const FeedChanges& changes) {
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
                             list, EraNumber(changes.position.era))
      .Union();
}

//! What the field of a beat says where the store was never heard.
constexpr std::uint32_t kNeverHeard = std::numeric_limits<std::uint32_t>::max();

[[nodiscard]] std::uint32_t AgeField(std::optional<Duration> age) {
  if (!age) {
    return kNeverHeard;
  }
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(milliseconds, 0, kNeverHeard - 1));
}

[[nodiscard]] std::optional<Duration> ReadAge(std::uint32_t field) {
  if (field == kNeverHeard) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(field);
}

[[nodiscard]] Offset<void> Build(FlatBufferBuilder& builder,
                                 const FeedBeat& beat) {
  return wire::CreateBeat(builder, beat.position.revision, AgeField(beat.age),
                          beat.store_away, EraNumber(beat.position.era))
      .Union();
}

[[nodiscard]] wire::Body KindOf(const FeedMessage& message) {
  constexpr wire::Body kKinds[] = {wire::Body::Hello, wire::Body::Changes,
                                   wire::Body::Beat};
  return kKinds[message.index()];
}

[[nodiscard]] FeedChanges Read(const wire::Changes& wired) {
  FeedChanges changes;
  changes.position = PositionOf(wired);
  changes.whole = wired.whole();
  if (wired.changes() == nullptr) {
    return changes;
  }
  for (const wire::Change* change : *wired.changes()) {
    StoreChange read;
    read.key = TextOf(change->key());
    read.position = PositionOf(*change);
    if (!change->removed()) {
      const auto* value = change->value();
      read.value = value == nullptr ? std::string()
                                    : std::string(value->begin(), value->end());
    }
    changes.changes.push_back(std::move(read));
  }
  return changes;
}

//! Messages below gain nothing by it.
constexpr std::size_t kLeastPacked = 1024;
//! The fastest: a feeder packs each change while callers wait.
constexpr int kPackLevel = 1;

[[nodiscard]] std::string_view BytesOf(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

//! Replaces the message by one that holds it packed; it stays as it is if that
//! fails.
void Pack(FlatBufferBuilder& builder) {
  std::string packed(ZSTD_compressBound(builder.GetSize()), '\0');
  const std::size_t size =
      ZSTD_compress(packed.data(), packed.size(), builder.GetBufferPointer(),
                    builder.GetSize(), kPackLevel);
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

[[nodiscard]] Result<std::string> Unpack(const wire::Packed& packed) {
  // The size is the sender's word, and what it costs to believe it is bounded.
  if (packed.size() > FeedFrames::kMostBytes || packed.bytes() == nullptr) {
    return Fail(ErrorCode::kCorrupt, "feed", "is packed from too many bytes");
  }
  std::string plain(packed.size(), '\0');
  const std::size_t size =
      ZSTD_decompress(plain.data(), plain.size(), packed.bytes()->data(),
                      packed.bytes()->size());
  if (ZSTD_isError(size) != 0 || size != plain.size()) {
    return Fail(ErrorCode::kCorrupt, "feed", "cannot be unpacked");
  }
  return plain;
}

[[nodiscard]] Result<const wire::Message*> Verify(std::string_view frame) {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(frame.data());
  flatbuffers::Verifier verifier(bytes, frame.size());
  if (!wire::VerifyMessageBuffer(verifier)) {
    return Fail(ErrorCode::kCorrupt, "feed", "is no message");
  }
  return wire::GetMessage(bytes);
}

[[nodiscard]] Result<FeedMessage> ReadPlain(const wire::Message& message) {
  if (const auto* hello = message.body_as_Hello()) {
    return FeedMessage(FeedHello{HostId(TextOf(hello->host())),
                                 PositionOf(*hello), TextOf(hello->record()),
                                 hello->reads_packed()});
  }
  if (const auto* changes = message.body_as_Changes()) {
    return FeedMessage(Read(*changes));
  }
  if (const auto* beat = message.body_as_Beat()) {
    return FeedMessage(FeedBeat{PositionOf(*beat), ReadAge(beat->age_ms()),
                                beat->store_away()});
  }
  return Fail(ErrorCode::kCorrupt, "feed", "has a body of no known kind");
}

}  // namespace

std::string EncodeFeed(const FeedMessage& message, FeedPacking packing) {
  FlatBufferBuilder builder;
  const Offset<void> body = std::visit(
      [&](const auto& which) { return Build(builder, which); }, message);
  builder.Finish(wire::CreateMessage(builder, KindOf(message), body));
  if (packing == FeedPacking::kPacked && builder.GetSize() >= kLeastPacked) {
    Pack(builder);
  }
  // Not the library's own prefix: it shifts the alignment that the verifier of
  // the frame without its prefix checks.
  std::string frame = FrameLength(builder.GetSize());
  frame += BytesOf(builder);
  return frame;
}

Result<FeedMessage> DecodeFeed(std::string_view frame) {
  BOOST_LEAF_AUTO(message, Verify(frame));
  const auto* packed = message->body_as_Packed();
  if (packed == nullptr) {
    return ReadPlain(*message);
  }
  BOOST_LEAF_AUTO(plain, Unpack(*packed));
  // Packed once: a frame that unpacks to another has no known body.
  BOOST_LEAF_AUTO(inner, Verify(plain));
  return ReadPlain(*inner);
}

}  // namespace jacinthdeck
