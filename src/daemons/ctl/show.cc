// Prints replies as they are.
#include "ctl/show.h"

namespace jacinthdeck::ctl {

ExitCode ShowOperators(Session& session, const std::string& path) {
  return ShowReply(
      session, Capture([&] { return session.CallOperators({.path = path}); }));
}

ExitCode ShowReply(Session& session,
                   const std::variant<DaemonReply, Error>& called) {
  constexpr long kFirstError = 300;
  if (const auto* error = std::get_if<Error>(&called)) {
    return session.Fail(*error);
  }
  const DaemonReply& reply = std::get<0>(called);
  if (reply.status >= kFirstError) {
    return session.FailReply(reply);
  }
  session.Print(*reply.body);
  return ExitCode::kDone;
}

}  // namespace jacinthdeck::ctl
