#pragma once

#include <msgpack.hpp>
#include <string_view>

namespace lentilhoist {

/// Decodes a MessagePack value. Strings are copied once, directly from Bytes,
/// without an intermediate buffer.
/// \param Bytes one packed value.
/// \returns the decoded value.
/// \throws msgpack::unpack_error if Bytes is malformed, msgpack::type_error if
/// it has another type.
template <typename Value> Value unpackInPlace(std::string_view Bytes) {
  const auto ReferenceInput = [](msgpack::type::object_type, std::size_t,
                                 void *) { return true; };
  return msgpack::unpack(Bytes.data(), Bytes.size(), ReferenceInput)
      .get()
      .template as<Value>();
}

} // namespace lentilhoist
