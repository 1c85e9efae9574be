#include "settings/table_reader.h"

#include "settings/settings_error.h"

#include <array>
#include <charconv>
#include <fmt/format.h>

namespace lentilhoist {

namespace {

using std::chrono::microseconds;

const toml::table &emptyTable() {
  static const toml::table Empty;
  return Empty;
}

struct time_unit {
  std::string_view Suffix;
  microseconds Length;
};

/// Longer suffixes first, since "ms" ends with "s".
constexpr std::array<time_unit, 5> TimeUnits{{
    {"us", microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"min", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
    {"s", std::chrono::seconds(1)},
}};

bool endsWith(std::string_view Text, std::string_view Suffix) {
  return Text.size() >= Suffix.size() &&
         Text.substr(Text.size() - Suffix.size()) == Suffix;
}

std::optional<microseconds> parseTime(std::string_view Text) {
  for (const time_unit &Unit : TimeUnits) {
    if (!endsWith(Text, Unit.Suffix))
      continue;
    Text.remove_suffix(Unit.Suffix.size());
    std::int64_t Count = 0;
    const char *End = Text.data() + Text.size();
    const auto Result = std::from_chars(Text.data(), End, Count);
    if (Result.ec != std::errc() || Result.ptr != End)
      return std::nullopt;
    return Unit.Length * Count;
  }
  return std::nullopt;
}

std::string formatTime(microseconds Time) {
  for (const std::string_view Suffix : {"h", "min", "s", "ms"}) {
    for (const time_unit &Unit : TimeUnits) {
      if (Unit.Suffix == Suffix && Time.count() != 0 &&
          Time % Unit.Length == microseconds(0))
        return fmt::format("{}{}", Time / Unit.Length, Suffix);
    }
  }
  return fmt::format("{}us", Time.count());
}

} // namespace

table_reader::table_reader(const toml::table &Given, std::string GivenFile,
                           std::string GivenPath)
    : Table(&Given), File(std::move(GivenFile)), Path(std::move(GivenPath)) {}

std::string table_reader::pathOf(const std::string &Key) const {
  return Path.empty() ? Key : Path + "." + Key;
}

void table_reader::fail(const toml::node &Node, const std::string &Key,
                        const std::string &Expected) const {
  throw settings_error(fmt::format("{}:{}: {}: expected {}", File,
                                   Node.source().begin.line, pathOf(Key),
                                   Expected));
}

const toml::node *table_reader::find(const char *Key) {
  Known.insert(Key);
  return Table->get(Key);
}

void table_reader::text(const char *Key, std::string &Value) {
  const toml::node *Node = find(Key);
  if (Node == nullptr)
    return;
  const auto Text = Node->value_exact<std::string>();
  if (!Text)
    fail(*Node, Key, "a string");
  Value = *Text;
}

void table_reader::requiredText(const char *Key, std::string &Value) {
  text(Key, Value);
  if (Value.empty())
    throw settings_error(
        fmt::format("{}:{}: {}: expected a non-empty string, found none", File,
                    Table->source().begin.line, pathOf(Key)));
}

std::int64_t table_reader::readWhole(const char *Key, std::int64_t Least,
                                     std::int64_t Most, std::int64_t Default) {
  const toml::node *Node = find(Key);
  if (Node == nullptr)
    return Default;
  const auto Number = Node->value_exact<std::int64_t>();
  if (!Number || *Number < Least || *Number > Most)
    fail(*Node, Key, fmt::format("a whole number from {} to {}", Least, Most));
  return *Number;
}

void table_reader::number(const char *Key, double Least, double Most,
                          double &Value) {
  const toml::node *Node = find(Key);
  if (Node == nullptr)
    return;
  const auto Number = Node->value<double>();
  if (!Number || *Number < Least || *Number > Most)
    fail(*Node, Key, fmt::format("a number from {} to {}", Least, Most));
  Value = *Number;
}

void table_reader::flag(const char *Key, bool &Value) {
  const toml::node *Node = find(Key);
  if (Node == nullptr)
    return;
  const auto Flag = Node->value_exact<bool>();
  if (!Flag)
    fail(*Node, Key, "true or false");
  Value = *Flag;
}

microseconds table_reader::readTime(const char *Key, microseconds Least,
                                    microseconds Most, microseconds Default) {
  const toml::node *Node = find(Key);
  if (Node == nullptr)
    return Default;
  const auto Text = Node->value_exact<std::string>();
  const auto Time = Text ? parseTime(*Text) : std::nullopt;
  if (!Time || *Time < Least || *Time > Most)
    fail(*Node, Key,
         fmt::format("a time with its unit (us, ms, s, min, h) from \"{}\" to "
                     "\"{}\"",
                     formatTime(Least), formatTime(Most)));
  return *Time;
}

table_reader table_reader::table(const char *Key) {
  const toml::node *Node = find(Key);
  if (Node == nullptr)
    return {emptyTable(), File, pathOf(Key)};
  if (!Node->is_table())
    fail(*Node, Key, "a table");
  return {*Node->as_table(), File, pathOf(Key)};
}

std::vector<table_reader> table_reader::tables(const char *Key) {
  std::vector<table_reader> Readers;
  const toml::node *Node = find(Key);
  if (Node == nullptr)
    return Readers;
  if (!Node->is_array_of_tables())
    fail(*Node, Key, "an array of tables");
  for (const toml::node &Element : *Node->as_array())
    Readers.emplace_back(*Element.as_table(), File, pathOf(Key));
  return Readers;
}

void table_reader::finish() const {
  for (const auto &[Key, Node] : *Table) {
    const std::string Name(Key.str());
    if (Known.count(Name) == 0)
      throw settings_error(fmt::format("{}:{}: {}: unknown key", File,
                                       Node.source().begin.line, pathOf(Name)));
  }
}

} // namespace lentilhoist
