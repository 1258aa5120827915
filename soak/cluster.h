// The processes of one run: starts them and applies the actions of the plan.
#ifndef SOAK_CLUSTER_H_
#define SOAK_CLUSTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "jacinthdeck/core/boottime_clock.h"
#include "jacinthdeck/http/asio.h"
#include "soak/callers.h"
#include "soak/child.h"
#include "soak/history.h"
#include "soak/loopback_proxy.h"
#include "soak/plan.h"

namespace jacinthdeck::soak {

//! Failure domain of the entries and of the first target of each service, so
//! that most requests go there. Evacuations apply to this domain.
inline constexpr const char* kDomain = "a";
//! Longest time for a process to report that it is ready.
inline constexpr Duration kStartTimeout = std::chrono::seconds(20);

/*! \brief Location of the programs and number of processes of a cluster. */
struct ClusterOptions {
  //! Build directory.
  std::filesystem::path programs;
  //! Program of the entries, such as one built with sanitizers.
  std::filesystem::path daemon;
  //! Existing directory for settings and logs.
  std::filesystem::path work;
  std::uint64_t seed = 1;
  std::size_t entries = 4;
  std::size_t callers = 12;
  //! Whether the second target of each service is in another failure domain
  //! than the first, so that the domain of the first can be evacuated.
  bool two_domains = false;
  //! Whether the configuration has client accounts and callers send keys.
  bool accounts = false;
  //! Whether some calls are slow and some callers go on connecting to draining
  //! entries.
  bool rolling = false;
};

/**
 * \brief Runs a store, targets, entries and callers on loopback, with a proxy
 * on every link that faults can affect.
 *
 * Must be used on the main thread; proxies and callers run on a loop thread.
 * Records which entries a fault affected and when, so that the checks do not
 * report the direct effects of the faults.
 */
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /*! \brief Starts all processes.
   * \throw std::runtime_error if one does not become ready. */
  void Start();
  /*! \brief Applies one step of a plan now. */
  void Apply(const Action& action);
  /*! \brief Runs the scheduled steps that are due. */
  void RunDueSteps();
  /*! \brief Ends all faults, restarts entries that have ended and starts the
   * recovery period. */
  void EndAllFaults();
  /*! \brief Stops the callers and the loop and returns the recorded events. */
  [[nodiscard]] History Finish();

  [[nodiscard]] TimePoint Now() const { return m_clock.Now(); }

 private:
  struct Target {
    std::string id;
    std::string service;
    std::uint32_t shard = 0;
    std::string domain;
    std::unique_ptr<LoopbackProxy> proxy;
    std::unique_ptr<Child> child;
    bool leaving = false;
  };
  struct Entry {
    std::string name;
    //! Number of the entry's current process, in the order of starts.
    std::size_t instance = 0;
    std::unique_ptr<LoopbackProxy> store;
    std::unique_ptr<LoopbackProxy> callers;
    std::unique_ptr<Child> child;
    //! Whether the current process was frozen at some time since its SIGTERM.
    bool is_frozen_in_stop = false;
    //! Signals that the plan sent to the current process.
    bool stop_sent = false;
    bool kill_sent = false;
  };
  using Step = void (Cluster::*)(const Action&);

  void StopEntry(const Action& action);
  void ContinueEntry(const Action& action);
  void KillEntry(const Action& action);
  void DrainEntry(const Action& action);
  void RestartEntry(const Action& action);
  //! Kills the process of an entry whose grace period has ended, as the
  //! platform does, unless it has ended or another one has replaced it.
  void KillOverdueEntry(Entry& entry, std::size_t instance);
  void StopTarget(const Action& action);
  void ContinueTarget(const Action& action);
  void KillTarget(const Action& action);
  void DrainTarget(const Action& action);
  void LoseAnswers(const Action& action);
  void AnswerAll(const Action& action);
  void Reshard(const Action& action);
  void InjectStoreFault(const Action& action);
  void CompactStore(const Action& action);
  void ClearStoreFault(const Action& action);
  void InjectLinkFault(const Action& action);
  void ClearLinkFault(const Action& action);
  void Evacuate(const Action& action);
  void EndEvacuation(const Action& action);
  void CopyStore(const Action& action);
  void RestoreStore(const Action& action);
  void RemoveKey(const Action& action);
  void AddKey(const Action& action);
  void LowerLimit(const Action& action);

  void StartStore();
  //! Starts a process of the entry and records the outcome of its former one.
  //! \throw std::runtime_error if it runs and is not ready in time.
  void StartEntry(Entry& entry);
  //! Keeps a replaced proxy until the end of the run, because a handler on the
  //! loop thread may still use it.
  void KeepReplacedProxy(std::unique_ptr<LoopbackProxy> proxy);
  void StartTarget(const std::string& service,
                   std::uint32_t shard,
                   const std::string& domain);
  void StartLayout();
  void DrainOldTargets();
  void WriteConfig();
  //! Writes the configuration of the layout that was last written and of the
  //! current accounts.
  void RewriteConfig();
  //! Like RewriteConfig(), as a new version, after a change to the accounts.
  void WriteAccounts();
  //! Writes the configuration of a layout and records the version of the
  //! accounts.
  void PutConfig(std::uint32_t layout);
  //! Returns the account that a change affects: one whose callers also send
  //! keys that are not in force.
  [[nodiscard]] Account& ChangedAccountOf(const Action& action);
  //! Sends a message to the store's control path.
  //! \throw std::runtime_error if the store does not accept it.
  void ControlStore(const std::string& message);
  void PutInStore(const std::string& key, const std::string& value);
  void RemoveFromStore(const std::string& key);
  //! Repeats the configuration and evacuation writes that a restore lost, as
  //! operators do.
  void RepeatLostWrites();
  [[nodiscard]] bool IsEvacuated() const;
  [[nodiscard]] Entry& EntryOf(const Action& action);
  [[nodiscard]] Target& TargetOf(const Action& action);
  [[nodiscard]] LoopbackProxy& LinkOf(const Action& action);
  void Schedule(Duration after, std::function<void()> step);
  //! Opens a fault period for entry processes, starting after a delay. The
  //! periods that the cause has opened before stay open.
  void BeginFaultPeriods(const std::string& cause,
                         const std::vector<std::size_t>& instances,
                         FaultEffect effect,
                         Duration after = {});
  //! Ends all fault periods of a cause after a delay.
  void EndFaultPeriods(const std::string& cause, Duration after = {});
  void BeginStoreFaultPeriod();
  [[nodiscard]] std::vector<std::size_t> EntryInstances() const;
  //! Records how the current process of an entry has ended, or that it runs.
  void RecordOutcome(Entry& entry);
  void ReadLog(History& history) const;
  [[nodiscard]] std::string ProgramPath(const std::string& program) const;
  [[nodiscard]] std::string WorkFilePath(const std::string& name) const;

  ClusterOptions m_options;
  BoottimeClock m_clock;
  asio::io_context m_loop;
  std::unique_ptr<Child> m_store;
  std::uint16_t m_store_port = 0;
  std::vector<Entry> m_entries;
  std::vector<std::unique_ptr<Target>> m_targets;
  std::vector<std::unique_ptr<LoopbackProxy>> m_replaced_proxies;
  std::size_t m_next_entry_instance = 0;
  std::size_t m_next_target_number = 0;
  std::uint32_t m_layout = 0;
  //! Rises with each layout that is written and each change to accounts.
  std::uint32_t m_config_version = 0;
  bool m_is_resharding = false;
  bool m_is_restoring = false;
  std::multimap<TimePoint, std::function<void()>> m_scheduled;
  std::vector<FaultPeriod> m_fault_periods;
  std::vector<EntryOutcome> m_entry_outcomes;
  //! Indices into m_fault_periods of the open fault periods, by cause.
  std::map<std::string, std::vector<std::size_t>> m_open_periods;
  std::vector<LayoutChange> m_layouts;
  std::vector<Placement> m_placements;
  //! At most one of them, the last, has not ended.
  std::vector<EvacuationPeriod> m_evacuations;
  AccountSettings m_account_settings;
  //! Empty in a run without accounts.
  std::vector<Account> m_accounts;
  std::vector<AccountVersion> m_account_versions;
  //! Accounts of the store's copy.
  std::vector<Account> m_copied_accounts;
  std::vector<std::string> m_overdue_stops;
  TimePoint m_calm_since = TimePoint::max();
  Callers m_callers;
  //! Declared last, because the thread uses the members above.
  std::jthread m_loop_thread;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_CLUSTER_H_
