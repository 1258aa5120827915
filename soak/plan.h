// A plan of faults and operator actions, generated from a seed.
#ifndef SOAK_PLAN_H_
#define SOAK_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::soak {

/*! \brief Faults, their ends, and operator actions that a plan may hold. */
enum class ActionKind {
  kStopEntry,
  kContinueEntry,
  kKillEntry,
  kDrainEntry,
  kStartEntry,
  kStopTarget,
  kContinueTarget,
  kKillTarget,
  kDrainTarget,
  //! The target executes requests but closes some connections unanswered.
  kLoseAnswers,
  kAnswerAll,
  kReshard,
  kStoreFault,
  //! The store discards its history; watches from older revisions fail.
  kCompactStore,
  kClearStoreFault,
  kLinkFault,
  kClearLinkFault,
  //! Operators forbid requests to the targets of one failure domain.
  kEvacuate,
  //! Operators allow requests to that failure domain again.
  kEndEvacuation,
  //! The store saves a copy of its contents.
  kCopyStore,
  //! The store is unreachable for a short time and returns with that copy.
  kRestoreStore,
  //! Operators remove the first key of an account, or add its spare one.
  kRemoveKey,
  kAddKey,
  //! Operators halve the limit of the account that exceeds it.
  kLowerLimit,
};

//! Names of the actions in reports, indexed by ActionKind.
inline constexpr NameTable<ActionKind, 24> kActionNames{
    {"stop_entry",    "continue_entry", "kill_entry",      "drain_entry",
     "start_entry",   "stop_target",    "continue_target", "kill_target",
     "drain_target",  "lose_answers",   "answer_all",      "reshard",
     "store_fault",   "store_forgets",  "store_well",      "link_fault",
     "link_well",     "evacuate",       "give_back",       "copy_store",
     "restore_store", "remove_key",     "add_key",         "lower_limit"}};

/*! \brief Failure mode of the store. */
enum class StoreFault {
  //! Refuses every call with status 503.
  kBusy,
  //! Closes every connection without a reply.
  kDrop,
  //! Accepts calls and never answers them.
  kSilent,
  //! Delays every call.
  kSlow,
  //! Executes writes and lease calls, but loses half of their replies.
  kLosesReplies
};

//! Names of the store's failure modes in reports.
inline constexpr NameTable<StoreFault, 5> kStoreFaultNames{
    {"busy", "drop", "silent", "slow", "loses_replies"}};

/*! \brief How a link treats the bytes sent over it. */
enum class LinkMode {
  kPass,
  //! Delays data in both directions.
  kDelay,
  //! Resets open and new connections.
  kReset,
  //! Holds back data from the client to the server.
  kCutForward,
  //! Holds back data from the server to the client.
  kCutBack,
  //! Holds back data in both directions.
  kSilent
};

//! Names of the links' modes in reports.
inline constexpr NameTable<LinkMode, 6> kLinkModeNames{
    {"pass", "delay", "reset", "cut_forward", "cut_back", "silent"}};

/*! \brief Link of the action's entry or target that a link fault affects. */
enum class Link { kCallers, kStore, kTarget };

//! Names of the links in reports.
inline constexpr NameTable<Link, 3> kLinkNames{{"callers", "store", "target"}};

/*! \brief One timed step of a plan. */
struct Action {
  //! Time since the start of the plan.
  Duration at{};
  ActionKind kind = ActionKind::kReshard;
  //! Selects the affected entry or target, modulo the number of them.
  std::size_t subject = 0;
  StoreFault store = StoreFault::kBusy;
  Link link = Link::kCallers;
  LinkMode mode = LinkMode::kPass;
  //! For kRestoreStore: time from the store's return until operators repeat
  //! their lost writes.
  Duration rewritten_after{};
  //! For kDrainEntry: delay of the link to the callers, in each direction,
  //! until the process has ended.
  std::chrono::milliseconds link_delay{};

  [[nodiscard]] bool operator==(const Action&) const = default;
};

/*! \brief Seed and size of a plan. */
struct PlanOptions {
  std::uint64_t seed = 1;
  //! Faults begin and end within this time.
  Duration length = std::chrono::seconds(12);
  std::size_t faults = 20;
  std::size_t entries = 4;
  //! Number of evacuations. They are drawn separately, so the faults of a seed
  //! do not depend on it.
  std::size_t evacuations = 0;
  //! Number of restores of the store, drawn separately as well.
  std::size_t restores = 0;
  //! Number of changes to client accounts, drawn separately as well. If it is
  //! 0, the configuration has no accounts.
  std::size_t account_changes = 0;
  //! Number of rolling restarts of all entries, drawn separately as well.
  std::size_t rolling = 0;
  //! Time from a restore until operators write again; if empty, each restore
  //! draws its own.
  std::optional<Duration> rewritten_after;
};

/*! \brief Generates a plan sorted by time; equal options give equal plans. */
[[nodiscard]] std::vector<Action> MakePlan(const PlanOptions& options);

/*! \brief Formats an action as one line for reports. */
[[nodiscard]] std::string Describe(const Action& action);

}  // namespace jacinthdeck::soak

#endif  // SOAK_PLAN_H_
