#pragma once

#include <charconv>
#include <csignal>
#include <cstdint>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace lentilhoist {

/// A program that a test starts, killed when the test is over.
class child_process {
public:
  /// \param Program path of the program.
  /// \param Environment NAME=VALUE, in addition to the test's own.
  /// \param LogPath file that takes its output.
  child_process(const std::string &Program,
                std::vector<std::string> Environment,
                const std::string &LogPath) {
    std::string Path = Program;
    char *Args[] = {Path.data(), nullptr};
    std::vector<char *> Variables;
    for (std::string &Variable : Environment)
      Variables.push_back(Variable.data());
    for (char **Own = environ; *Own != nullptr; ++Own)
      Variables.push_back(*Own);
    Variables.push_back(nullptr);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
    const int Failure = ::posix_spawn(&Id, Path.c_str(), &Actions, nullptr,
                                      Args, Variables.data());
    posix_spawn_file_actions_destroy(&Actions);
    if (Failure != 0)
      throw std::system_error(Failure, std::generic_category(), Program);
  }
  ~child_process() {
    if (!alive())
      return;
    ::kill(Id, SIGKILL);
    ::waitpid(Id, nullptr, 0);
  }
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  /// \returns whether the program still runs.
  bool alive() {
    if (!Ended && ::waitpid(Id, nullptr, WNOHANG) == Id)
      Ended = true;
    return !Ended;
  }

  /// \returns the largest resident memory so far, in bytes; 0 once it ended.
  std::size_t peakMemory() const {
    std::ifstream Status("/proc/" + std::to_string(Id) + "/status");
    constexpr std::string_view Name = "VmHWM:";
    for (std::string Line; std::getline(Status, Line);) {
      if (!Line.starts_with(Name))
        continue;
      const std::size_t Digits = Line.find_first_of("0123456789");
      std::size_t Kilobytes = 0;
      std::from_chars(Line.data() + Digits, Line.data() + Line.size(),
                      Kilobytes);
      return Kilobytes * 1024;
    }
    return 0;
  }

  /// \returns the number of open descriptors; 0 once it ended.
  std::size_t descriptors() const {
    std::error_code Error;
    std::size_t Count = 0;
    for (const auto &Entry : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(Id) + "/fd", Error)) {
      (void)Entry;
      ++Count;
    }
    return Count;
  }

  /// \returns the processor time used so far, in ticks of the system's clock.
  long processorTicks() const {
    std::ifstream Status("/proc/" + std::to_string(Id) + "/stat");
    std::string Text;
    std::getline(Status, Text);
    // The name in parentheses may have spaces; utime is the 12th field after
    // it and stime the 13th (proc(5)).
    std::istringstream Fields(Text.substr(Text.rfind(')') + 1));
    std::string Skipped;
    for (int Index = 0; Index < 11; ++Index)
      Fields >> Skipped;
    long User = 0;
    long System = 0;
    Fields >> User >> System;
    return User + System;
  }

private:
  pid_t Id = -1;
  bool Ended = false;
};

} // namespace lentilhoist
