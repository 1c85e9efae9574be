#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace lentilhoist {

/// Texts of recent chains by their last turn, least recently used first to go.
/// Turns never change, so that an entry is never wrong.
class chain_cache {
public:
  /// \param MaxBytes texts that the cache holds.
  explicit chain_cache(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// \param Turn the last turn of a chain.
  /// \param Text the text of the chain.
  void put(const std::string &Turn, std::string Text);

  /// \param Turn the last turn of a chain.
  /// \returns its text, or null.
  const std::string *find(const std::string &Turn);

  std::size_t bytes() const { return Bytes; }

private:
  struct entry {
    std::string Turn;
    std::string Text;
  };

  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::list<entry> Entries; ///< Most recently used first.
  std::unordered_map<std::string, std::list<entry>::iterator> Index;
};

} // namespace lentilhoist
