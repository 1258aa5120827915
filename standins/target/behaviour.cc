// Table of the members of control messages, each with the function that reads
// it.
#include "target/behaviour.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::standins {

namespace {

constexpr std::uint64_t kMaxMicroseconds = 600'000'000;
constexpr std::uint64_t kMaxQueueLimit = 100000;

using FieldReader = Result<bool> (*)(const JsonReader&,
                                     const char*,
                                     Behaviour&);

struct Field {
  const char* name;
  FieldReader read;
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

Result<bool> ReadDistribution(const JsonReader& changes,
                              const char* name,
                              Behaviour& behaviour) {
  BOOST_LEAF_AUTO(text, changes.String(name));
  const auto distribution = kServiceTimeDistributionNames.Find(text);
  if (!distribution) {
    return Fail(ErrorCode::kCorrupt, name,
                "is '" + text +
                    "', expected constant, exponential or "
                    "lognormal");
  }
  behaviour.distribution = *distribution;
  return true;
}

Result<bool> ReadQueueLimit(const JsonReader& changes,
                            const char* name,
                            Behaviour& behaviour) {
  BOOST_LEAF_AUTO(queue_limit, changes.Unsigned(name, kMaxQueueLimit));
  behaviour.queue_limit = static_cast<std::uint32_t>(queue_limit);
  return true;
}

//! A negative load ends the override.
Result<bool> ReadLoadOverride(const JsonReader& changes,
                              const char* name,
                              Behaviour& behaviour) {
  BOOST_LEAF_AUTO(load, changes.Number(name));
  behaviour.load_override =
      load < 0 ? std::nullopt : std::optional<double>(load);
  return true;
}

constexpr int kMicrosecondsPerMillisecond = 1000;

constexpr std::array<Field, 18> kFields{{
    {"shape", &ReadDistribution},
    {"service_us", &ReadTime<&Behaviour::mean_service_time, 1>},
    {"sigma", &ReadNumber<&Behaviour::sigma>},
    {"straggler_share", &ReadNumber<&Behaviour::straggler_share>},
    {"straggler_factor", &ReadNumber<&Behaviour::straggler_factor>},
    {"slow_factor", &ReadNumber<&Behaviour::slow_factor>},
    {"failure_share", &ReadNumber<&Behaviour::failure_share>},
    {"shed_share", &ReadNumber<&Behaviour::shed_share>},
    {"mute", &ReadBool<&Behaviour::mute>},
    {"draining", &ReadBool<&Behaviour::draining>},
    {"queue", &ReadQueueLimit},
    {"cold_ms", &ReadTime<&Behaviour::cold_for, kMicrosecondsPerMillisecond>},
    {"crash_on", &ReadText<&Behaviour::crash_on>},
    {"restart_ms",
     &ReadTime<&Behaviour::restart_time, kMicrosecondsPerMillisecond>},
    {"idle_close_ms",
     &ReadTime<&Behaviour::idle_close, kMicrosecondsPerMillisecond>},
    {"report_lag_ms",
     &ReadTime<&Behaviour::report_lag, kMicrosecondsPerMillisecond>},
    {"load_lie", &ReadLoadOverride},
    {"health_lie", &ReadText<&Behaviour::state_override>},
}};

}  // namespace

Result<Behaviour> ReadBehaviour(const JsonReader& changes,
                                const Behaviour& current) {
  Behaviour behaviour = current;
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
