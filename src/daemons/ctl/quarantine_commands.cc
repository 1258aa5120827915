// Lists and clears quarantined requests.
#include "ctl/quarantine_commands.h"

#include "ctl/show.h"

namespace jacinthdeck::ctl {

ExitCode QuarantineList(Session& session,
                        const std::vector<std::string>& /*none*/) {
  return ShowOperators(session, "/v1/quarantine");
}

ExitCode QuarantineClear(Session& session,
                         const std::vector<std::string>& fingerprint) {
  const std::string path = "/v1/quarantine/" + PercentEncode(fingerprint[0]);
  return ShowReply(
      session, Capture([&] {
        return session.CallOperators({.verb = "DELETE", .path = path});
      }));
}

}  // namespace jacinthdeck::ctl
