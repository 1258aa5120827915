// The deterministic core of a query: events and the time in, effects out.
#ifndef JACINTHDECK_QUERY_ENGINE_H_
#define JACINTHDECK_QUERY_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/call.h"
#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/query/partition_map.h"
#include "jacinthdeck/routing/router.h"

namespace jacinthdeck {

/**
 * \brief Scatters calls, gathers replies and decides every answer of one entry.
 *
 * Holds no socket, thread or clock. Every submitted call gets exactly one
 * DeliverAnswer.
 */
class Engine {
 public:
  /**
   * \brief Makes an engine.
   * \param router Replica choice; outlives the engine.
   * \param first_attempt Lowest attempt id of this life of the node; ids of
   * earlier lives are below.
   */
  Engine(Router& router, std::uint64_t first_attempt);

  /*! \brief Number of calls that have no answer yet. */
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return m_calls.size();
  }

  /*! \brief Moment at which OnTimer() is due; nothing while no call waits. */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /**
   * \brief Replaces the versions of a service that targets may still serve.
   * \param service Service.
   * \param maps Maps, newest last.
   */
  void SetVersions(const ServiceId& service, std::vector<PartitionMap> maps);

  /*! \brief Starts a call, or refuses it at once with its final answer. */
  void Submit(Call call, TimePoint now, Effects& effects);

  /*! \brief Takes the end of an attempt; one that is no longer known is
   * dropped. */
  void OnReply(const AttemptReply& reply, TimePoint now, Effects& effects);

  /*! \brief Acts on whatever is due: deadlines, hedges, waiting attempts. */
  void OnTimer(TimePoint now, Effects& effects);

 private:
  struct ShardState {
    Shard shard;
    std::vector<TargetId> tried;
    bool answered = false;
  };
  struct OpenCall {
    Call call;
    IndexVersion version;
    std::vector<ShardState> shards;
    Answer answer;
  };
  struct OpenAttempt {
    CallId call;
    std::size_t shard = 0;
    TargetId target;
    TimePoint sent;
  };

  void SendShard(OpenCall& open,
                 std::size_t shard,
                 AttemptKind kind,
                 TimePoint now,
                 Effects& effects);
  void Finish(const CallId& id, TimePoint now, Effects& effects);

  Router& m_router;
  std::uint64_t m_next_attempt;
  std::map<ServiceId, std::vector<PartitionMap>> m_versions;
  std::map<CallId, OpenCall> m_calls;
  std::map<AttemptId, OpenAttempt> m_attempts;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ENGINE_H_
