#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// One subcommand of the operators' command line.
struct ctl_command {
  std::string_view Name;       ///< What the operator types.
  std::string_view Method;     ///< Method of the daemon that it calls.
  std::string_view Parameters; ///< Names of its arguments, with blanks.
  std::string_view Help;       ///< What it does, in one line.
  bool Changes = false;        ///< Needs --by, and is logged.
  /// Page of a daemon's metrics address that it reads; empty for a method.
  std::string_view Page = {};
};

/// \returns all subcommands.
const std::vector<ctl_command> &ctlCommands();

/// \param Name a subcommand's name.
/// \returns the subcommand, or nullptr.
const ctl_command *findCommand(std::string_view Name);

/// Pairs the arguments with the parameters of a subcommand.
/// \param Command the subcommand.
/// \param Arguments what the operator typed after its name.
/// \returns the parameters as JSON.
/// \throws std::invalid_argument naming what is missing or too much.
nlohmann::json bindArguments(const ctl_command &Command,
                             const std::vector<std::string> &Arguments);

/// \param Result what the daemon answered.
/// \returns the result as a table for people.
std::string renderTable(const nlohmann::json &Result);

/// \returns a script that completes subcommands in bash.
std::string completionScript();

} // namespace lentilhoist
