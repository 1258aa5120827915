// Calls to a daemon and the printing of their ends.
#include "ctl/session.h"

#include <jansson.h>

#include <utility>

#include "ctl/human.h"
#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::ctl {

namespace {

constexpr long kFirstError = 400;
constexpr long kFirstServerError = 500;

}  // namespace

Session::Session(Arguments arguments,
                 const Clock& clock,
                 std::function<void(Duration)> sleep,
                 std::ostream& out,
                 std::ostream& err)
    : m_arguments(std::move(arguments)),
      m_clock(clock),
      m_sleep(std::move(sleep)),
      m_out(out),
      m_err(err) {}

std::vector<std::string> Session::Operands(std::size_t command_words) const {
  const auto& words = m_arguments.words;
  const auto skip = static_cast<std::ptrdiff_t>(command_words);
  return {words.begin() + skip, words.end()};
}

Result<DaemonReply> Session::CallOperators(HttpCall call) const {
  return Call(m_arguments.operators, std::move(call));
}

Result<DaemonReply> Session::CallCallers(HttpCall call) const {
  return Call(m_arguments.callers, std::move(call));
}

Result<DaemonReply> Session::Call(const HttpEndpoint& endpoint,
                                  HttpCall call) const {
  call.timeout = m_arguments.timeout;
  const HttpClient client(endpoint);
  BOOST_LEAF_AUTO(answer, client.Call(call));
  DaemonReply reply;
  reply.status = answer.status;
  if (answer.body.empty()) {
    reply.body.reset(json_object());
    return reply;
  }
  BOOST_LEAF_ASSIGN(reply.body, ParseJson(answer.body, "reply of the daemon"));
  return reply;
}

void Session::Print(const json_t& value) {
  if (m_arguments.json) {
    m_out << DumpJson(value) << "\n";
  } else {
    PrintForPeople(value, m_out);
  }
}

ExitCode Session::Fail(ExitCode code,
                       const std::string& what,
                       const std::string& next) {
  m_err << "error: " << what << "\n";
  if (!next.empty()) {
    m_err << "next:  " << next << "\n";
  }
  return code;
}

ExitCode Session::Fail(const Error& error) {
  const std::string what = error.subject + ": " + error.message;
  switch (error.code) {
    case ErrorCode::kUnavailable:
      return Fail(ExitCode::kUnreachable, what,
                  "check the address, or name another entry with --operators "
                  "or --callers");
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kNotFound:
      return Fail(ExitCode::kUsage, what, "see --help");
    default:
      return Fail(ExitCode::kFailed, what,
                  "check that the address is a jacinthdeckd of this version");
  }
}

ExitCode Session::FailReply(const DaemonReply& reply) {
  if (m_arguments.json) {
    m_out << DumpJson(*reply.body) << "\n";
  }
  std::string what = "the daemon answered status " +
                     std::to_string(reply.status) + ": " +
                     DumpJson(*reply.body);
  const json_t* error = json_object_get(reply.body.get(), "error");
  const json_t* message = json_object_get(error, "message");
  const json_t* field = json_object_get(error, "field");
  if (json_is_string(message)) {
    what = json_string_value(message);
  }
  if (json_is_string(field) && json_string_length(field) > 0) {
    what = std::string(json_string_value(field)) + ": " + what;
  }
  if (reply.status >= kFirstError && reply.status < kFirstServerError) {
    return Fail(ExitCode::kRefused, what,
                "nothing was changed; correct the input and send it again");
  }
  return Fail(ExitCode::kFailed, what, "see the log of the daemon");
}

}  // namespace jacinthdeck::ctl
