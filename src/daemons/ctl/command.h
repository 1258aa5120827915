// The commands of jacinthdeckctl, as a table.
#ifndef JACINTHDECK_DAEMONS_CTL_COMMAND_H_
#define JACINTHDECK_DAEMONS_CTL_COMMAND_H_

#include <cstddef>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/session.h"

namespace jacinthdeck::ctl {

/*! \brief One command. */
struct Command {
  //! First word.
  std::string_view group;
  //! Second word; empty where the command has one word.
  std::string_view name;
  std::string_view operands;
  std::string_view help;
  std::size_t min_operands = 0;
  std::size_t max_operands = 0;
  ExitCode (*run)(Session& session,
                  const std::vector<std::string>& operands) = nullptr;

  /*! \brief Count of the words that name the command. */
  [[nodiscard]] std::size_t words() const noexcept {
    return name.empty() ? 1 : 2;
  }
};

/*! \brief All commands. */
[[nodiscard]] std::span<const Command> Commands();

/*! \brief Finds the command that the words name; null when there is none or the
 * count of operands is wrong. */
[[nodiscard]] const Command* FindCommand(const std::vector<std::string>& words);

/*! \brief Prints commands and options. */
void PrintHelp(std::ostream& out);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_COMMAND_H_
