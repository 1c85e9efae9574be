#include "ctl/command_table.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>
#include <stdexcept>

namespace lentilhoist {

namespace {

std::vector<std::string> splitWords(std::string_view Text) {
  std::istringstream Stream{std::string(Text)};
  std::vector<std::string> Words;
  for (std::string Word; Stream >> Word;)
    Words.push_back(Word);
  return Words;
}

std::string cellOf(const nlohmann::json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string cellOf(const nlohmann::json &Row, const std::string &Column) {
  return Row.contains(Column) ? cellOf(Row[Column]) : std::string();
}

bool isTable(const nlohmann::json &Value) {
  return Value.is_array() && !Value.empty() && Value[0].is_object();
}

std::string renderRows(const nlohmann::json &Rows) {
  std::vector<std::string> Columns;
  for (const auto &[Key, Value] : Rows[0].items())
    Columns.push_back(Key);
  std::vector<std::size_t> Widths;
  for (const std::string &Column : Columns) {
    std::size_t Width = Column.size();
    for (const auto &Row : Rows)
      Width = std::max(Width, cellOf(Row, Column).size());
    Widths.push_back(Width);
  }
  std::string Text;
  for (std::size_t Index = 0; Index < Columns.size(); ++Index)
    Text += fmt::format("{:<{}}  ", Columns[Index], Widths[Index]);
  Text += '\n';
  for (const auto &Row : Rows) {
    for (std::size_t Index = 0; Index < Columns.size(); ++Index)
      Text +=
          fmt::format("{:<{}}  ", cellOf(Row, Columns[Index]), Widths[Index]);
    Text += '\n';
  }
  return Text;
}

} // namespace

const std::vector<ctl_command> &ctlCommands() {
  static const std::vector<ctl_command> Commands{
      {"status", "status", "", "show the instance, its view and its shards"},
      {"programs", "programs", "[tenant]", "list the programs held here"},
      {"show", "show", "program", "show a program's chain of calls"},
      {"end", "end", "program", "end a program", true},
      {"runners", "runners", "", "list the runners as seen from here"},
      {"drain", "drain", "runner", "give a runner no new work", true},
      {"undrain", "undrain", "runner", "give a runner work again", true},
      {"unknown", "unknown", "", "list side effects of unknown outcome"},
      {"resolve", "resolve", "program call outcome reason",
       "record an outcome (ran or not_run) with a reason", true},
      {"entry", "", "", "show an entry daemon: readiness, path, relays", false,
       "/status"},
      {"engines", "", "", "list the runners as an entry daemon sees them",
       false, "/runners"},
      {"quotas", "", "",
       "list the largest workspaces' quotas and refusals, as an entry or a "
       "history daemon knows them",
       false, "/quotas"},
      {"replica", "", "", "show a history daemon: set, copy, records", false,
       "/status"},
      {"metrics", "", "", "print a daemon's counters and histograms", false,
       "/metrics"},
  };
  return Commands;
}

const ctl_command *findCommand(std::string_view Name) {
  for (const ctl_command &Command : ctlCommands()) {
    if (Command.Name == Name)
      return &Command;
  }
  return nullptr;
}

nlohmann::json bindArguments(const ctl_command &Command,
                             const std::vector<std::string> &Arguments) {
  nlohmann::json Bound = nlohmann::json::object();
  const auto Names = splitWords(Command.Parameters);
  if (Arguments.size() > Names.size())
    throw std::invalid_argument(fmt::format(
        "{}: unexpected argument '{}'", Command.Name, Arguments[Names.size()]));
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    const bool Optional = Names[Index].front() == '[';
    if (Index >= Arguments.size()) {
      if (Optional)
        continue;
      throw std::invalid_argument(
          fmt::format("{}: missing argument {}", Command.Name, Names[Index]));
    }
    const std::string Name =
        Optional ? Names[Index].substr(1, Names[Index].size() - 2)
                 : Names[Index];
    Bound[Name] = Arguments[Index];
  }
  if (!Bound.contains("call"))
    return Bound;
  try {
    Bound["call"] = std::stoul(Bound["call"].get<std::string>());
  } catch (const std::exception &) {
    throw std::invalid_argument("call must be a whole number");
  }
  return Bound;
}

std::string renderTable(const nlohmann::json &Result) {
  if (!Result.is_object())
    return Result.dump(2) + "\n";
  std::string Text;
  for (const auto &[Key, Value] : Result.items()) {
    if (isTable(Value))
      Text += fmt::format("{}:\n{}", Key, renderRows(Value));
    else if (Value.is_array() && Value.empty())
      Text += fmt::format("{}: none\n", Key);
    else
      Text += fmt::format("{}: {}\n", Key, cellOf(Value));
  }
  return Text;
}

std::string completionScript() {
  std::string Names;
  for (const ctl_command &Command : ctlCommands())
    Names += fmt::format("{} ", Command.Name);
  return fmt::format("complete -W \"{}help completion\" lentilhoistctl\n",
                     Names);
}

} // namespace lentilhoist
