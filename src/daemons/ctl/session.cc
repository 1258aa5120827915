// Calls hosts and the store and prints results and errors.
#include "ctl/session.h"

#include <jansson.h>

#include <utility>

#include "ctl/human.h"
#include "jacinthdeck/http/blocking_client.h"

namespace jacinthdeck::ctl {

namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

}  // namespace

Session::Session(Arguments arguments,
                 const PlatformCodec& codec,
                 std::ostream& out,
                 std::ostream& err)
    : m_arguments(std::move(arguments)),
      m_codec(codec),
      m_out(out),
      m_err(err) {}

std::vector<std::string> Session::Operands(std::size_t command_words) const {
  const auto& words = m_arguments.words;
  const auto skip = static_cast<std::ptrdiff_t>(command_words);
  return {words.begin() + skip, words.end()};
}

Result<HostReply> Session::Call(const Endpoint& endpoint,
                                const ClientRequest& request) const {
  const ClientReply answer =
      CallAndWait(endpoint, request, m_arguments.timeout);
  if (!answer.answered()) {
    return jacinthdeck::Fail(ErrorCode::kUnavailable, endpoint.ToString(),
                             answer.error);
  }
  HostReply reply;
  reply.status = answer.status;
  if (answer.body.empty()) {
    reply.body.reset(json_object());
    return reply;
  }
  BOOST_LEAF_ASSIGN(reply.body, ParseJson(answer.body, "reply"));
  return reply;
}

Result<HostReply> Session::ReadStatus(const std::string& address) const {
  BOOST_LEAF_AUTO(endpoint, Endpoint::Parse(address));
  return Call(endpoint, {"GET", "/status", ""});
}

Result<StorePage> Session::ReadPage(const std::string& after) const {
  StorePage page =
      m_codec.ReadPage(CallAndWait(m_arguments.store, m_codec.RangeCall(after),
                                   m_arguments.timeout),
                       {});
  if (page.status != StoreStatus::kOk) {
    return jacinthdeck::Fail(ErrorCode::kUnavailable,
                             m_arguments.store.ToString(), page.problem);
  }
  return page;
}

Result<StorePosition> Session::ReadPosition() const {
  BOOST_LEAF_AUTO(page, ReadPage(""));
  return page.position;
}

Result<std::vector<StoreChange>> Session::ReadStore() const {
  std::vector<StoreChange> items;
  while (true) {
    const std::string after = items.empty() ? "" : items.back().key;
    BOOST_LEAF_AUTO(page, ReadPage(after));
    if (page.has_more && page.items.empty()) {
      return jacinthdeck::Fail(ErrorCode::kCorrupt,
                               m_arguments.store.ToString(),
                               "page without a readable item");
    }
    items.insert(items.end(), page.items.begin(), page.items.end());
    if (!page.has_more) {
      return items;
    }
  }
}

StoreAck Session::CompareAndSwap(const std::string& key,
                                 const std::string& value,
                                 const StorePosition& position) const {
  const StoreWrite write{.conditions = {{key, position.revision}},
                         .puts = {{key, value, 0}},
                         .removals = {}};
  return m_codec.ReadWriteReply(
      CallAndWait(m_arguments.store, m_codec.WriteCall(write),
                  m_arguments.timeout),
      position.era);
}

void Session::Print(const json_t& value) {
  if (m_arguments.json) {
    m_out << DumpJson(value) << "\n";
  } else {
    PrintIndented(value, m_out);
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
                  "check the address, or give another one with --store, "
                  "--host or --queries");
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kNotFound:
      return Fail(ExitCode::kUsage, what, "see --help");
    default:
      return Fail(ExitCode::kFailed, what,
                  "check that the address is a jacinthdeckd of this version");
  }
}

ExitCode Session::FailReply(const HostReply& reply) {
  if (m_arguments.json) {
    m_out << DumpJson(*reply.body) << "\n";
  }
  std::string what = "the host answered status " +
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
  if (reply.status >= kFirstErrorStatus &&
      reply.status < kFirstServerErrorStatus) {
    return Fail(ExitCode::kRefused, what,
                "nothing was changed; correct the input and send it again");
  }
  return Fail(ExitCode::kFailed, what, "see the log of the host");
}

}  // namespace jacinthdeck::ctl
