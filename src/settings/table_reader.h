#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace lentilhoist {

/// Reads one table of a settings file. Each key is asked for by name, type and
/// range; what nobody asked for is an error at the end.
class table_reader {
public:
  /// \param Table the table.
  /// \param File name of the file, for messages.
  /// \param Path dotted name of the table, for messages.
  table_reader(const toml::table &Table, std::string File, std::string Path);

  /// \param Key the key.
  /// \param[in,out] Value the default; gains what the file says.
  /// \throws settings_error if the value is no string.
  void text(const char *Key, std::string &Value);

  /// Like text, for a key that must be there.
  void requiredText(const char *Key, std::string &Value);

  /// \param Key the key.
  /// \param Least least allowed value.
  /// \param Most greatest allowed value.
  /// \param[in,out] Value the default; gains what the file says.
  /// \throws settings_error if the value is no whole number in the range.
  template <typename T>
  void whole(const char *Key, std::int64_t Least, std::int64_t Most, T &Value) {
    const std::int64_t Read =
        readWhole(Key, Least, Most, static_cast<std::int64_t>(Value));
    Value = static_cast<T>(Read);
  }

  /// \param Key the key.
  /// \param Least least allowed value.
  /// \param Most greatest allowed value.
  /// \param[in,out] Value the default; gains what the file says.
  /// \throws settings_error if the value is no number in the range.
  void number(const char *Key, double Least, double Most, double &Value);

  /// \param Key the key.
  /// \param[in,out] Value the default; gains what the file says.
  /// \throws settings_error if the value is no boolean.
  void flag(const char *Key, bool &Value);

  /// Reads a time with its unit, for example "250ms".
  /// \param Key the key.
  /// \param Least least allowed time.
  /// \param Most greatest allowed time.
  /// \param[in,out] Value the default; gains what the file says.
  /// \throws settings_error if the unit is missing or the time out of range.
  template <typename Duration>
  void time(const char *Key, std::chrono::microseconds Least,
            std::chrono::microseconds Most, Duration &Value) {
    const auto Default =
        std::chrono::duration_cast<std::chrono::microseconds>(Value);
    Value = std::chrono::duration_cast<Duration>(
        readTime(Key, Least, Most, Default));
  }

  /// \param Key the key.
  /// \returns the table of that name, empty if it is missing.
  table_reader table(const char *Key);

  /// \param Key the key.
  /// \returns the tables of an array of tables, none if it is missing.
  std::vector<table_reader> tables(const char *Key);

  /// Rejects what has not been asked for.
  /// \throws settings_error if the table has an unknown key.
  void finish() const;

private:
  const toml::node *find(const char *Key);
  std::int64_t readWhole(const char *Key, std::int64_t Least, std::int64_t Most,
                         std::int64_t Default);
  std::chrono::microseconds readTime(const char *Key,
                                     std::chrono::microseconds Least,
                                     std::chrono::microseconds Most,
                                     std::chrono::microseconds Default);
  [[noreturn]] void fail(const toml::node &Node, const std::string &Key,
                         const std::string &Expected) const;
  std::string pathOf(const std::string &Key) const;

  const toml::table *Table;
  std::string File;
  std::string Path;
  std::set<std::string> Known;
};

} // namespace lentilhoist
