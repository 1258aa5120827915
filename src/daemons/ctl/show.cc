// Prints replies of hosts without interpreting them.
#include "ctl/show.h"

namespace jacinthdeck::ctl {

ExitCode Show(Session& session,
              const Endpoint& endpoint,
              const std::string& path) {
  return ShowReply(session, Capture([&] {
                     return session.Call(endpoint, {"GET", path, ""});
                   }));
}

ExitCode ShowReply(Session& session,
                   const std::variant<HostReply, Error>& result) {
  constexpr int kFirstNonSuccessStatus = 300;
  if (const auto* error = std::get_if<Error>(&result)) {
    return session.Fail(*error);
  }
  const HostReply& reply = std::get<0>(result);
  if (reply.status >= kFirstNonSuccessStatus) {
    return session.FailReply(reply);
  }
  session.Print(*reply.body);
  return ExitCode::kDone;
}

}  // namespace jacinthdeck::ctl
