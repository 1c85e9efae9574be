#pragma once

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>

namespace lentilhoist {

/// LRU cache of chain texts, keyed by the id of the last turn. Turns are
/// immutable, so that entries never become stale.
class chain_cache {
public:
  /// \param MaxBytes limit on the total size of the cached texts.
  explicit chain_cache(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Adds a text, unless it exceeds the capacity or the key is present, and
  /// evicts the least recently used ones.
  /// \param Turn id of the last turn of a chain.
  /// \param Text the text of the chain.
  void put(const std::string &Turn, std::string Text);

  /// \param Size size of a text.
  /// \returns whether the cache takes a text of that size.
  bool fits(std::size_t Size) const { return Size <= MaxBytes; }

  /// Looks up a text and marks it as most recently used.
  /// \param Turn id of the last turn of a chain.
  /// \returns the text, valid until the next put(), or null.
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
