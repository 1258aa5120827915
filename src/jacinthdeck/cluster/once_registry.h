// Requests that may run at most once: each is bound to the node life that its
// id names.
#ifndef JACINTHDECK_CLUSTER_ONCE_REGISTRY_H_
#define JACINTHDECK_CLUSTER_ONCE_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/cluster/member_table.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/request_id.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief What to do with an arriving request. */
enum class OnceDecision {
  //! First sight at the node life that the id names: run it here.
  kRun,
  //! Runs already: the waiting call gets the same answer.
  kAttach,
  //! Has ended: give the stored answer.
  kFinished,
  //! Bound to another node life: send it there.
  kForward,
  //! It may have run and its end is not known any more; it must not run.
  kUnknown,
  //! Refused for want of room, or because the node takes nothing new; it was
  //! not
  //! run and never will be.
  kRefused,
  //! Not an id that a token of ours can have led to; it was never run.
  kInvalid,
};

//! Names of the decisions, for logs and metrics.
inline constexpr NameTable<OnceDecision, 7> kOnceDecisionNames{
    {"run", "attach", "finished", "forward", "unknown", "refused", "invalid"}};

/*! \brief The answer of a finished request, as its caller got it. */
struct OnceAnswer {
  //! HTTP status.
  std::uint16_t status = 0;
  //! Answer as JSON.
  std::string body;

  [[nodiscard]] bool operator==(const OnceAnswer&) const = default;
};

/*! \brief Whether an id that was never seen may run. */
enum class OnceIntake { kOpen, kClosed };

/*! \brief A decision with what it needs. */
struct OnceResult {
  OnceDecision decision = OnceDecision::kUnknown;
  //! For kFinished.
  std::optional<OnceAnswer> answer;
  //! For kForward: the node that the id names.
  NodeId node;
};

/*! \brief Bounds of the registry. */
struct OnceOptions {
  //! An id may be used this long after its token was given out.
  Duration token_life = std::chrono::minutes(2);
  //! Ids held at once; as many refused ones beside them.
  std::size_t capacity = 100000;
  //! Bytes of stored answers held at once.
  std::size_t answer_bytes = std::size_t{32} << 20U;
};

/*!
 * \brief Decides on each arriving request, with no message where the caller
 * uses the entry that its id names.
 *
 * A token names the moment at which it was given out, by this life's clock, in
 * the nonce's first part. An id is remembered until its token has expired;
 * afterwards the id itself tells that it is too old, so forgetting it cannot
 * let it run again. A refusal is remembered like an answer: another copy of the
 * request may be under way, and would make "not run" untrue by running.
 */
class OnceRegistry {
 public:
  /*! \brief Makes a registry; `table` outlives it. */
  OnceRegistry(SelfInfo self, OnceOptions options, const MemberTable& table);

  [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

  /**
   * \brief Makes a token for a caller.
   * \param now Present moment.
   * \return `<node>.<incarnation>.t<ms>`: the caller appends `-` and its own
   * nonce to make a RequestId.
   */
  [[nodiscard]] std::string MakeToken(TimePoint now) const;

  /**
   * \brief Decides on a request that arrived, from a caller or forwarded.
   * \param id Its id.
   * \param now Present moment.
   * \param intake Closed where the node would refuse a new request anyway; what
   * is known of a resend is told all the same.
   * \return The decision.
   */
  [[nodiscard]] OnceResult Arrive(const RequestId& id,
                                  TimePoint now,
                                  OnceIntake intake = OnceIntake::kOpen);

  /*! \brief Stores the answer of a request that was told to run. */
  void Finish(const RequestId& id, OnceAnswer answer, TimePoint now);

  /*! \brief Notes that a request which was told to run provably was not, and
   * that its caller was told so: it must not run any more. */
  void Refuse(const RequestId& id);

  /*! \brief Whether new ids are taken; false once the node leaves. */
  void set_accepting(bool accepting) noexcept { m_accepting = accepting; }

 private:
  enum class State {
    kRunning,
    kFinished,
    //! Finished, and its answer gave way to younger ones.
    kAnswerDropped,
    //! Its caller was told that it was not run.
    kRefused,
  };
  struct Entry {
    //! From then on the id itself is refused as too old.
    TimePoint expires;
    State state = State::kRunning;
    //! Empty unless kFinished.
    OnceAnswer answer;
  };

  [[nodiscard]] OnceResult ArriveElsewhere(const RequestId& id) const;
  [[nodiscard]] OnceResult Known(const Entry& entry) const;
  [[nodiscard]] OnceDecision RefuseNew(const RequestId& id, TimePoint expires);
  void Sweep(TimePoint now);
  void DropOldAnswers();

  SelfInfo m_self;
  OnceOptions m_options;
  const MemberTable& m_table;
  bool m_accepting = true;
  //! Ids of this life only; at most m_options.capacity that are not refused.
  std::map<RequestId, Entry> m_entries;
  //! Refused ids among m_entries; at most m_options.capacity of those that were
  //! never told to run.
  std::size_t m_refused = 0;
  //! Ids by expiry, for the sweep.
  std::multimap<TimePoint, RequestId> m_expiries;
  //! Finished ids, oldest first; may name ids that are gone.
  std::deque<RequestId> m_finished;
  //! Sum of the stored bodies; at most m_options.answer_bytes.
  std::size_t m_answer_bytes = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_ONCE_REGISTRY_H_
