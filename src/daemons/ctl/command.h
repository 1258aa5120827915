// Declares the table of commands of jacinthdeckctl.
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

/*! \brief Names, operands, help text and handler of one command. */
struct Command {
  //! First word of the command.
  std::string_view group;
  //! Second word of the command; empty if it has one word only.
  std::string_view name;
  std::string_view operands;
  std::string_view help;
  std::size_t min_operands = 0;
  std::size_t max_operands = 0;
  ExitCode (*run)(Session& session,
                  const std::vector<std::string>& operands) = nullptr;

  /*! \brief Returns the number of words that name the command: 1 or 2. */
  [[nodiscard]] std::size_t words() const noexcept {
    return name.empty() ? 1 : 2;
  }
};

/*! \brief Returns all commands in the order of the help text. */
[[nodiscard]] std::span<const Command> Commands();

/*! \brief Returns the command that the words name; null if there is none or
 * the number of operands is wrong. */
[[nodiscard]] const Command* FindCommand(const std::vector<std::string>& words);

/*! \brief Prints the help text: usage, commands and options. */
void PrintHelp(std::ostream& out);

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_COMMAND_H_
