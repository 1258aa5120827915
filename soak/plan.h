// What is done to a run, and when: drawn from a seed.
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

/*! \brief Everything that can be done to a run. */
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
  //! The target runs requests and ends the connections of some unanswered.
  kLoseAnswers,
  kAnswerAll,
  kReshard,
  kStoreFault,
  kStoreForgets,
  kStoreWell,
  kLinkFault,
  kLinkWell,
  //! Nothing may be sent to the targets of one failure domain.
  kEvacuate,
  kGiveBack,
  //! The store keeps a copy of what it holds.
  kCopyStore,
  //! The store is away for a moment and comes back from that copy.
  kRestoreStore,
};

//! Names of the actions in reports.
inline constexpr NameTable<ActionKind, 21> kActionNames{
    {"stop_entry",   "continue_entry", "kill_entry",      "drain_entry",
     "start_entry",  "stop_target",    "continue_target", "kill_target",
     "drain_target", "lose_answers",   "answer_all",      "reshard",
     "store_fault",  "store_forgets",  "store_well",      "link_fault",
     "link_well",    "evacuate",       "give_back",       "copy_store",
     "restore_store"}};

/*! \brief How the store fails. */
enum class StoreFault { kBusy, kDrop, kSilent, kSlow, kLosesReplies };

//! Names of the store's faults in reports.
inline constexpr NameTable<StoreFault, 5> kStoreFaultNames{
    {"busy", "drop", "silent", "slow", "loses_replies"}};

/*! \brief What a link does to the bytes on it. */
enum class LinkMode { kPass, kDelay, kReset, kCutForward, kCutBack, kSilent };

//! Names of the links' modes in reports.
inline constexpr NameTable<LinkMode, 6> kLinkModeNames{
    {"pass", "delay", "reset", "cut_forward", "cut_back", "silent"}};

/*! \brief Which link of its subject an action means. */
enum class Link { kCallers, kStore, kTarget };

//! Names of the links in reports.
inline constexpr NameTable<Link, 3> kLinkNames{{"callers", "store", "target"}};

/*! \brief One step of a plan. */
struct Action {
  Duration at{};
  ActionKind kind = ActionKind::kReshard;
  //! Entry or target, counted modulo those that there are.
  std::size_t subject = 0;
  StoreFault store = StoreFault::kBusy;
  Link link = Link::kCallers;
  LinkMode mode = LinkMode::kPass;
  //! Of a restore: from the store's return until its operators write again.
  Duration rewritten_after{};

  [[nodiscard]] bool operator==(const Action&) const = default;
};

/*! \brief Size of a plan. */
struct PlanOptions {
  std::uint64_t seed = 1;
  //! Faults begin and end within this time.
  Duration length = std::chrono::seconds(12);
  std::size_t faults = 20;
  std::size_t entries = 4;
  //! Evacuations beside the faults; 0 leaves the plan of a seed as it is.
  std::size_t evacuations = 0;
  //! Restores of the store beside the faults, as the evacuations.
  std::size_t restores = 0;
  //! Time from a restore until operators write again; nothing: drawn for each.
  std::optional<Duration> rewritten_after;
};

/*! \brief The same options give the same plan, in the order of time. */
[[nodiscard]] std::vector<Action> MakePlan(const PlanOptions& options);

/*! \brief One line. */
[[nodiscard]] std::string Describe(const Action& action);

}  // namespace jacinthdeck::soak

#endif  // SOAK_PLAN_H_
