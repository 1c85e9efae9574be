#pragma once

#include "core/instant.h"
#include "log/log.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhoist {

/// Lines of one kind that are written within LogWindow.
inline constexpr std::uint64_t MaxLinesPerWindow = 5;
inline constexpr seconds LogWindow{60};
/// Kinds that are told apart; others share one count.
inline constexpr std::size_t MaxLogKinds = 64;

/// Lines of one kind.
struct log_kind {
  instant WindowStart{};
  std::uint64_t Written = 0;    ///< In this window.
  std::uint64_t Suppressed = 0; ///< Since the last line that was written.
};

/// Bounds the lines about events that another party can cause at any rate, such
/// as messages that can't be read.
struct log_limit {
  std::map<std::string, log_kind, std::less<>> Kinds;
};

/// Decides whether a line is written.
/// \param Limit the limit; updated.
/// \param Kind the line's kind.
/// \param Now the current time.
/// \returns the number of lines of the kind that were suppressed since the last
/// one; nothing if this line is suppressed.
std::optional<std::uint64_t> admitLine(log_limit &Limit, std::string_view Kind,
                                       instant Now);

/// Lines that were suppressed and that no later line has told of.
struct suppressed_lines {
  std::string Kind;
  std::uint64_t Count = 0;
};

/// Takes the counts of kinds whose window is over.
/// \param Limit the limit; updated.
/// \param Now the current time.
/// \returns the counts, none of which is zero.
std::vector<suppressed_lines> takeSuppressed(log_limit &Limit, instant Now);

/// Logs an event at a bounded rate, with `suppressed` if lines were. Safe to
/// use from any thread.
/// \param Level its weight.
/// \param Event its name, which is also its kind.
/// \param Fields named values.
void logLimited(log_level Level, std::string_view Event,
                std::vector<log_field> Fields);

/// Logs the counts of lines that logLimited has suppressed, once their window
/// is over.
void logSuppressed();

} // namespace lentilhoist
