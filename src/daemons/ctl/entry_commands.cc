// Status, addresses and drain of one entry.
#include "ctl/entry_commands.h"

#include "ctl/show.h"

namespace jacinthdeck::ctl {

ExitCode ShowStatus(Session& session,
                    const std::vector<std::string>& /*none*/) {
  return ShowOperators(session, "/v1/status");
}

ExitCode ShowEntries(Session& session,
                     const std::vector<std::string>& /*none*/) {
  return ShowReply(session, Capture([&] {
                     return session.CallCallers({.path = "/v1/entries"});
                   }));
}

ExitCode Drain(Session& session, const std::vector<std::string>& /*none*/) {
  return ShowReply(
      session, Capture([&] {
        return session.CallOperators({.verb = "POST", .path = "/v1/drain"});
      }));
}

}  // namespace jacinthdeck::ctl
