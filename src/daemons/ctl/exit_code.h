// Defines the exit codes of jacinthdeckctl, which
// docs/operate/jacinthdeckctl.md documents.
#ifndef JACINTHDECK_DAEMONS_CTL_EXIT_CODE_H_
#define JACINTHDECK_DAEMONS_CTL_EXIT_CODE_H_

namespace jacinthdeck::ctl {

/*! \brief Result of a command, as scripts see it. */
enum class ExitCode {
  kDone = 0,
  //! A host sent a reply that cannot be used or that reports a failure, or no
  //! log line was found.
  kFailed = 1,
  //! The command line is invalid, or a schema or log file cannot be read; no
  //! request was sent.
  kUsage = 2,
  //! The request or the content of a file was refused, or the store holds no
  //! schema to print; nothing was executed or changed.
  kRefused = 3,
  //! The request may or may not have been executed or taken effect.
  kUnknown = 4,
  //! A host did not answer, or the store could not be read.
  kUnreachable = 5,
  //! Answered, but key ranges are missing, or a host does not apply what is in
  //! the store or could not be asked.
  kPartial = 6,
};

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_EXIT_CODE_H_
