// What became of a change of the settings file.
#ifndef JACINTHDECK_ENTRY_RELOAD_STATE_H_
#define JACINTHDECK_ENTRY_RELOAD_STATE_H_

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Result of the last reload of the settings. */
enum class ReloadState {
  //! All settings of the file are in force, as they are after a start.
  kApplied,
  //! The file holds changes that only a restart applies.
  kNeedsRestart,
  //! The file cannot be used; a restart would fail.
  kRejected,
};

//! Names of the states, as operators see them.
inline constexpr NameTable<ReloadState, 3> kReloadStateNames{
    {"applied", "needs_restart", "rejected"}};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_RELOAD_STATE_H_
