// Members of the control messages, as a table.
#include "target/behaviour.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::uint64_t kMaxMicroseconds = 600'000'000;
constexpr std::uint64_t kMaxQueue = 100000;

using Read = Result<bool> (*)(const JsonReader&, const char*, Behaviour&);

struct Field {
  const char* name;
  Read read;
};

template <Duration Behaviour::*Member, int Scale>
Result<bool> ReadTime(const JsonReader& changes,
                      const char* name,
                      Behaviour& behaviour) {
  BOOST_LEAF_AUTO(value, changes.Unsigned(name, kMaxMicroseconds / Scale));
  behaviour.*Member = Duration(static_cast<Duration::rep>(value) * Scale);
  return true;
}

template <double Behaviour::*Member>
Result<bool> ReadNumber(const JsonReader& changes,
                        const char* name,
                        Behaviour& behaviour) {
  BOOST_LEAF_ASSIGN(behaviour.*Member, changes.Number(name));
  return true;
}

template <bool Behaviour::*Member>
Result<bool> ReadBool(const JsonReader& changes,
                      const char* name,
                      Behaviour& behaviour) {
  BOOST_LEAF_ASSIGN(behaviour.*Member, changes.Bool(name));
  return true;
}

template <std::string Behaviour::*Member>
Result<bool> ReadText(const JsonReader& changes,
                      const char* name,
                      Behaviour& behaviour) {
  BOOST_LEAF_ASSIGN(behaviour.*Member, changes.String(name));
  return true;
}

Result<bool> ReadShape(const JsonReader& changes,
                       const char* name,
                       Behaviour& behaviour) {
  BOOST_LEAF_AUTO(text, changes.String(name));
  const auto shape = kServiceShapeNames.Find(text);
  if (!shape) {
    return Fail(ErrorCode::kCorrupt, name,
                "is '" + text +
                    "', expected constant, exponential or "
                    "lognormal");
  }
  behaviour.shape = *shape;
  return true;
}

Result<bool> ReadQueue(const JsonReader& changes,
                       const char* name,
                       Behaviour& behaviour) {
  BOOST_LEAF_AUTO(queue, changes.Unsigned(name, kMaxQueue));
  behaviour.queue = static_cast<std::uint32_t>(queue);
  return true;
}

//! A negative load ends the lie.
Result<bool> ReadLoadLie(const JsonReader& changes,
                         const char* name,
                         Behaviour& behaviour) {
  BOOST_LEAF_AUTO(load, changes.Number(name));
  behaviour.load_lie = load < 0 ? std::nullopt : std::optional<double>(load);
  return true;
}

constexpr int kMilli = 1000;

constexpr std::array<Field, 18> kFields{{
    {"shape", &ReadShape},
    {"service_us", &ReadTime<&Behaviour::service_mean, 1>},
    {"sigma", &ReadNumber<&Behaviour::sigma>},
    {"straggler_share", &ReadNumber<&Behaviour::straggler_share>},
    {"straggler_factor", &ReadNumber<&Behaviour::straggler_factor>},
    {"slow_factor", &ReadNumber<&Behaviour::slow_factor>},
    {"failure_share", &ReadNumber<&Behaviour::failure_share>},
    {"shed_share", &ReadNumber<&Behaviour::shed_share>},
    {"mute", &ReadBool<&Behaviour::mute>},
    {"draining", &ReadBool<&Behaviour::draining>},
    {"queue", &ReadQueue},
    {"cold_ms", &ReadTime<&Behaviour::cold_for, kMilli>},
    {"crash_on", &ReadText<&Behaviour::crash_on>},
    {"restart_ms", &ReadTime<&Behaviour::restart, kMilli>},
    {"idle_close_ms", &ReadTime<&Behaviour::idle_close, kMilli>},
    {"report_lag_ms", &ReadTime<&Behaviour::report_lag, kMilli>},
    {"load_lie", &ReadLoadLie},
    {"health_lie", &ReadText<&Behaviour::health_lie>},
}};

}  // namespace

Result<Behaviour> ReadBehaviour(const JsonReader& changes,
                                const Behaviour& now) {
  Behaviour behaviour = now;
  for (const std::string& name : changes.Names()) {
    const auto field = std::ranges::find_if(
        kFields, [&](const Field& known) { return known.name == name; });
    if (field == kFields.end()) {
      return Fail(ErrorCode::kCorrupt, changes.path() + "." + name,
                  "is no member of a target's behaviour");
    }
    Result<bool> read = field->read(changes, field->name, behaviour);
    if (!read) {
      return read.error();
    }
  }
  return behaviour;
}

}  // namespace jacinthdeck::standins
