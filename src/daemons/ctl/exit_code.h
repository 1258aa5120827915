// Exit codes of jacinthdeckctl; docs/operate/jacinthdeckctl.md lists them.
#ifndef JACINTHDECK_DAEMONS_CTL_EXIT_CODE_H_
#define JACINTHDECK_DAEMONS_CTL_EXIT_CODE_H_

namespace jacinthdeck::ctl {

/*! \brief How a command ended, for scripts. */
enum class ExitCode {
  kDone = 0,
  //! The daemon answered something that cannot be used.
  kFailed = 1,
  //! The command line is wrong; nothing was sent.
  kUsage = 2,
  //! Refused, and nothing was run or changed.
  kRefused = 3,
  //! It may or may not have run or taken effect.
  kUnknown = 4,
  //! No daemon could be reached.
  kUnreachable = 5,
  //! Answered, with key ranges missing.
  kPartial = 6,
};

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_EXIT_CODE_H_
