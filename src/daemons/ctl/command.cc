// Defines the table of commands and prints it as the help text.
#include "ctl/command.h"

#include <algorithm>
#include <array>
#include <limits>

#include "ctl/account_command.h"
#include "ctl/account_usage_command.h"
#include "ctl/era_command.h"
#include "ctl/evacuation_command.h"
#include "ctl/explain_command.h"
#include "ctl/host_commands.h"
#include "ctl/query_command.h"
#include "ctl/schema_commands.h"

namespace jacinthdeck::ctl {

namespace {

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

constexpr std::array<Command, 14> kCommands{{
    {"schema", "check", "FILE", "check a schema file without sending it", 1, 1,
     &SchemaCheck},
    {"schema", "apply", "FILE", "check a schema file and write it to the store",
     1, 1, &SchemaApply},
    {"schema", "show", "", "print the schema in the store", 0, 0, &SchemaShow},
    {"index", "apply", "FILE",
     "check partition maps and write them to the store", 1, 1, &IndexApply},
    {"accounts", "check", "FILE",
     "check a configuration and print its accounts without their keys", 1, 1,
     &AccountsCheck},
    {"accounts", "list", "[HOST...]",
     "print the client accounts, and their requests at hosts (metrics IP:PORT)",
     0, kUnlimited, &AccountsList},
    {"accounts", "show", "NAME [HOST...]",
     "print a client account as each host sees it: limit, level, allocator", 1,
     kUnlimited, &AccountsShow},
    {"status", "", "", "print the status of a host", 0, 0, &ShowStatus},
    {"hosts", "", "", "print the hosts registered in the store", 0, 0,
     &ShowHosts},
    {"evacuations", "", "[HOST...]",
     "print evacuated failure domains, and the hosts (metrics IP:PORT) that do "
     "not apply them",
     0, kUnlimited, &ShowEvacuations},
    {"era", "", "[HOST...]",
     "print the era of the store, and the hosts (metrics IP:PORT) that serve "
     "with data of another era",
     0, kUnlimited, &ShowEra},
    {"entries", "", "", "print the addresses for typed calls", 0, 0,
     &ShowEntries},
    {"query", "", "SERVICE/METHOD JSON",
     "send one request and print the answer", 2, 2, &Query},
    {"explain", "", "REQUEST_ID FILE...",
     "print the log lines of a request; with --summary and no id, count all "
     "losses",
     1, kUnlimited, &Explain},
}};

[[nodiscard]] bool Matches(const Command& command,
                           const std::vector<std::string>& words) {
  return words.size() >= command.words() && words[0] == command.group &&
         (command.name.empty() || words[1] == command.name);
}

}  // namespace

std::span<const Command> Commands() {
  return kCommands;
}

const Command* FindCommand(const std::vector<std::string>& words) {
  const auto found = std::ranges::find_if(
      kCommands,
      [&](const Command& command) { return Matches(command, words); });
  if (found == kCommands.end()) {
    return nullptr;
  }
  const std::size_t operands = words.size() - found->words();
  const bool fits =
      operands >= found->min_operands && operands <= found->max_operands;
  return fits ? &*found : nullptr;
}

void PrintHelp(std::ostream& out) {
  constexpr std::size_t kColumn = 34;
  out << "Usage: jacinthdeckctl [options] COMMAND\n\nCommands:\n";
  for (const Command& command : kCommands) {
    std::string line = "  " + std::string(command.group);
    for (const std::string_view part : {command.name, command.operands}) {
      line += part.empty() ? "" : " " + std::string(part);
    }
    line.resize(std::max(line.size() + 1, kColumn), ' ');
    out << line << command.help << "\n";
  }
  out << "\n";
  PrintOptions(out);
}

}  // namespace jacinthdeck::ctl
