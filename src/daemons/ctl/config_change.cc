// Sends a change until its end is known or the wait is over.
#include "ctl/config_change.h"

#include <jansson.h>

#include <chrono>
#include <cstdint>
#include <random>
#include <sstream>
#include <variant>

#include "jacinthdeck/core/json_reader.h"

namespace jacinthdeck::ctl {

namespace {

constexpr std::chrono::milliseconds kAskAgain{250};

/*! \brief What the daemon says of a change. */
struct ChangeReply {
  std::string state;
  std::uint64_t revision = 0;
  DaemonReply reply;
};

//! Unique among the operators' programs: 64 bits of the machine's randomness.
[[nodiscard]] std::string NewOperation() {
  std::random_device device;
  std::ostringstream id;
  id << "ctl-" << std::hex << device() << "-" << device();
  return id.str();
}

[[nodiscard]] Result<DaemonReply> ReadConfig(const Session& session) {
  BOOST_LEAF_AUTO(reply, session.CallOperators({.path = "/v1/config"}));
  if (reply.status != 200) {
    return jacinthdeck::Fail(ErrorCode::kUnavailable, "/v1/config",
                             "answered status " + std::to_string(reply.status) +
                                 ": " + DumpJson(*reply.body));
  }
  return reply;
}

[[nodiscard]] JsonPtr MakeChange(
    const Session& session,
    const json_t& present,
    const std::function<void(json_t& content)>& edit) {
  JsonPtr change(json_object());
  for (const char* name : {"schema", "settings"}) {
    json_t* member = json_object_get(&present, name);
    if (member != nullptr) {
      json_object_set_new(change.get(), name, json_deep_copy(member));
    }
  }
  edit(*change);
  const Arguments& arguments = session.arguments();
  const std::string operation =
      arguments.operation.empty() ? NewOperation() : arguments.operation;
  json_t* revision = json_object_get(&present, "revision");
  const auto expected = static_cast<json_int_t>(arguments.expected.value_or(
      static_cast<std::uint64_t>(json_integer_value(revision))));
  json_object_set_new(change.get(), "operation",
                      json_string(operation.c_str()));
  json_object_set_new(change.get(), "expected", json_integer(expected));
  return change;
}

[[nodiscard]] Result<ChangeReply> Send(const Session& session,
                                       const json_t& change) {
  ChangeReply end;
  BOOST_LEAF_ASSIGN(
      end.reply,
      session.CallOperators(
          {.verb = "POST", .path = "/v1/config", .body = DumpJson(change)}));
  const JsonReader body(end.reply.body.get(), "reply");
  if (body.Has("state")) {
    BOOST_LEAF_ASSIGN(end.state, body.String("state"));
  }
  if (body.Has("revision")) {
    BOOST_LEAF_ASSIGN(end.revision, body.Unsigned("revision", INT64_MAX));
  }
  return end;
}

//! A call without a reply leaves the change open, like the daemon's "unknown".
[[nodiscard]] ChangeReply SendOnce(const Session& session,
                                   const json_t& change) {
  auto sent = Capture([&] { return Send(session, change); });
  if (const auto* error = std::get_if<Error>(&sent)) {
    ChangeReply open;
    open.state = "unknown";
    open.reply.body.reset(json_pack("{s:s,s:s}", "state", "unknown", "message",
                                    error->message.c_str()));
    return open;
  }
  return std::get<0>(std::move(sent));
}

[[nodiscard]] bool IsOpen(const ChangeReply& end) {
  return end.state == "pending" || end.state == "unknown";
}

[[nodiscard]] std::string Message(const ChangeReply& end) {
  const json_t* message = json_object_get(end.reply.body.get(), "message");
  return json_is_string(message)
             ? std::string(": ") + json_string_value(message)
             : "";
}

ExitCode Report(Session& session,
                const ChangeReply& end,
                const std::string& operation) {
  const std::string revision = std::to_string(end.revision);
  if (end.state == "accepted") {
    if (session.arguments().json) {
      session.Print(*end.reply.body);
    } else {
      session.out() << "accepted: revision " << revision
                    << " is in force on every entry that serves\n";
    }
    return ExitCode::kDone;
  }
  if (end.state == "conflict") {
    return session.Fail(ExitCode::kRefused,
                        "the configuration has changed; it is at revision " +
                            revision + Message(end),
                        "look at `config history`, then make the change again");
  }
  if (end.state == "unavailable") {
    return session.Fail(
        ExitCode::kRefused,
        "the store cannot be reached; nothing was changed" + Message(end),
        "try again later");
  }
  if (IsOpen(end)) {
    return session.Fail(
        ExitCode::kUnknown, "the change is still " + end.state + Message(end),
        "ask again with the same command and --operation " + operation +
            "; `status` names the entries that have not acknowledged");
  }
  return session.FailReply(end.reply);
}

}  // namespace

ExitCode ChangeConfig(Session& session,
                      const std::function<void(json_t& content)>& edit) {
  const auto present = Capture([&] { return ReadConfig(session); });
  if (const auto* error = std::get_if<Error>(&present)) {
    return session.Fail(*error);
  }
  const JsonPtr change = MakeChange(session, *std::get<0>(present).body, edit);
  const std::string operation =
      json_string_value(json_object_get(change.get(), "operation"));
  const TimePoint end_of_wait =
      session.clock().Now() + session.arguments().wait;
  ChangeReply end = SendOnce(session, *change);
  while (IsOpen(end) && session.clock().Now() < end_of_wait) {
    session.Sleep(kAskAgain);
    end = SendOnce(session, *change);
  }
  return Report(session, end, operation);
}

}  // namespace jacinthdeck::ctl
