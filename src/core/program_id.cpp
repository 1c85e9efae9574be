#include "core/program_id.h"

#include <charconv>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

constexpr std::size_t ShardDigits = 3;
constexpr std::size_t KeyDigits = 16;

template <typename T>
bool parseWhole(std::string_view Text, T &Value, int Base) {
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value, Base);
  return Result.ec == std::errc() && Result.ptr == End;
}

} // namespace

std::string formatProgramId(const program_id &Program) {
  return fmt::format("{:03d}-{:016x}", Program.Shard, Program.Key);
}

std::optional<program_id> parseProgramId(std::string_view Text) {
  if (Text.size() != ShardDigits + 1 + KeyDigits || Text[ShardDigits] != '-')
    return std::nullopt;
  program_id Program;
  if (!parseWhole(Text.substr(0, ShardDigits), Program.Shard, 10))
    return std::nullopt;
  if (!parseWhole(Text.substr(ShardDigits + 1), Program.Key, 16))
    return std::nullopt;
  return Program;
}

} // namespace lentilhoist
