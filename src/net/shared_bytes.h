#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lentilhoist {

/// Bytes that several connections may send without a copy for each.
struct shared_bytes {
  std::shared_ptr<const void> Owner; ///< Keeps Bytes alive and unchanged.
  std::string_view Bytes;
};

/// \param Text the bytes.
/// \returns the bytes, owned by the result.
inline shared_bytes shareBytes(std::string Text) {
  const auto Owner = std::make_shared<const std::string>(std::move(Text));
  return {Owner, *Owner};
}

} // namespace lentilhoist
