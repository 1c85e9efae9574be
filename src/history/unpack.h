#pragma once

#include <msgpack.hpp>
#include <string_view>

namespace lentilhoist {

/// Decodes a value. Its texts are copied once, from the bytes given.
/// \param Bytes one packed value.
/// \returns the value.
/// \throws msgpack::unpack_error or msgpack::type_error if it is none.
template <typename Value> Value unpackInPlace(std::string_view Bytes) {
  const auto KeepInPlace = [](msgpack::type::object_type, std::size_t, void *) {
    return true;
  };
  return msgpack::unpack(Bytes.data(), Bytes.size(), KeepInPlace)
      .get()
      .template as<Value>();
}

} // namespace lentilhoist
