#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Weight of a log line.
enum class log_level { Debug, Info, Warning, Error };

/// One named value of a log line.
struct log_field {
  std::string_view Name;
  std::string Value;
};

/// Writes JSON lines to standard output from a thread of its own while it
/// lives; without one, lines are written by the caller.
class log_writer {
public:
  /// \param Instance name that each line carries.
  /// \param Level least weight that is written.
  log_writer(std::string Instance, log_level Level);
  ~log_writer();
  log_writer(const log_writer &) = delete;
  log_writer &operator=(const log_writer &) = delete;
};

/// Logs one event.
/// \param Level its weight.
/// \param Event a stable name, for example `shard_taken`.
/// \param Fields named values; program, call and attempt where there is one.
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields = {});

/// Logs one event whose fields are collected at run time.
/// \param Level its weight.
/// \param Event a stable name.
/// \param Fields named values.
void logFields(log_level Level, std::string_view Event,
               const std::vector<log_field> &Fields);

} // namespace lentilhoist
