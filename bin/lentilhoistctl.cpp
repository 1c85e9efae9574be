#include "ctl/command_table.h"
#include "ctl/daemon_call.h"
#include "operator/rpc_dispatcher.h"
#include "settings/daemon_settings.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <thread>

DEFINE_string(address, "127.0.0.1:8081", "operator address of an instance");
DEFINE_string(token_file, "", "file with the shared token (mode 600)");
DEFINE_bool(json, false, "print JSON in place of tables");
DEFINE_string(by, "", "who makes a change; needed by commands that change");
DEFINE_double(watch, 0, "repeat every so many seconds until interrupted");
DECLARE_bool(help);

namespace {

using namespace lentilhoist;

/// Exit codes, documented in docs/OPERATING.md.
enum exit_code {
  ExitDone = 0,
  ExitRefused = 1,
  ExitUsage = 2,
  ExitNoAnswer = 3
};

std::string usage() {
  std::string Text = "Operators' command line.\n"
                     "  lentilhoistctl [flags] COMMAND [arguments]\n\n";
  for (const ctl_command &Command : ctlCommands())
    Text += fmt::format("  {:<10}{:<32}{}\n", Command.Name, Command.Parameters,
                        Command.Help);
  Text += fmt::format("  {:<10}{:<32}{}\n", "help", "[command]",
                      "explain a command");
  return Text + fmt::format("  {:<10}{:<32}{}\n", "completion", "",
                            "print a completion script for bash");
}

std::string describe(const ctl_command &Command) {
  return fmt::format("lentilhoistctl {} {}\n  {}\n{}", Command.Name,
                     Command.Parameters, Command.Help,
                     Command.Changes
                         ? "  Needs --by=NAME; the instance logs the change.\n"
                         : "");
}

/// Prints a page of a daemon that serves no methods.
void showPage(const ctl_command &Command) {
  const std::string Text =
      readPage(parseEndpoint(FLAGS_address), std::string(Command.Page));
  const auto Json = nlohmann::json::parse(Text, nullptr, false);
  if (FLAGS_json || Json.is_discarded())
    fmt::print("{}", Text);
  else
    fmt::print("{}", renderTable(Json));
}

void runCommand(const ctl_command &Command, nlohmann::json Parameters) {
  if (!Command.Page.empty()) {
    showPage(Command);
    return;
  }
  const std::string Token = readToken(FLAGS_token_file);
  if (Command.Changes)
    Parameters["by"] = FLAGS_by;
  const endpoint Daemon = parseEndpoint(FLAGS_address);
  rpc_client Client(
      [&](const std::string &Body) { return callMethod(Daemon, Body, Token); });
  const auto Result = nlohmann::json::parse(
      Client.call(std::string(Command.Method), Parameters.dump()));
  if (FLAGS_json)
    fmt::print("{}\n", Result.dump());
  else
    fmt::print("{}", renderTable(Result));
}

int runOnce(const ctl_command &Command,
            const std::vector<std::string> &Arguments) {
  try {
    if (Command.Changes && FLAGS_by.empty())
      throw std::invalid_argument("--by is missing: who makes the change?");
    runCommand(Command, bindArguments(Command, Arguments));
    return ExitDone;
  } catch (const rpc_failure &Failure) {
    fmt::print(stderr, "lentilhoistctl: {}\n", Failure.what());
    const std::string_view Text = Failure.what();
    const bool Silent =
        Text.find("does not answer") != std::string_view::npos ||
        Text.find("refused the token") != std::string_view::npos;
    return Silent ? ExitNoAnswer : ExitRefused;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "lentilhoistctl: {}\n", Error.what());
    return ExitUsage;
  }
}

int explain(const std::vector<std::string> &Arguments) {
  const ctl_command *Command =
      Arguments.empty() ? nullptr : findCommand(Arguments.front());
  fmt::print("{}", Command != nullptr ? describe(*Command) : usage());
  return ExitDone;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage(usage());
  gflags::ParseCommandLineNonHelpFlags(&ArgumentCount, &Arguments, true);
  const std::vector<std::string> Words(Arguments + 1,
                                       Arguments + ArgumentCount);
  if (Words.empty() || FLAGS_help)
    return explain(Words) == ExitDone && FLAGS_help ? ExitDone : ExitUsage;
  const std::vector<std::string> Rest(Words.begin() + 1, Words.end());
  if (Words[0] == "help")
    return explain(Rest);
  if (Words[0] == "completion") {
    fmt::print("{}", completionScript());
    return ExitDone;
  }
  const ctl_command *Command = findCommand(Words[0]);
  if (Command == nullptr) {
    fmt::print(stderr, "lentilhoistctl: unknown command '{}'\n{}", Words[0],
               usage());
    return ExitUsage;
  }
  int Code = runOnce(*Command, Rest);
  while (FLAGS_watch > 0 && Code == ExitDone) {
    std::this_thread::sleep_for(std::chrono::duration<double>(FLAGS_watch));
    fmt::print("\033[H\033[2J");
    Code = runOnce(*Command, Rest);
  }
  return Code;
}
