#pragma once

#include <msgpack.hpp>
#include <string_view>

namespace lentilhoist {

/// Depth of nested arrays and maps that a message may have. The deepest message
/// of the system, a reply of a replica, has five.
inline constexpr std::size_t MaxUnpackDepth = 32;

/// Parses a MessagePack value of bounded size: an element takes up at least one
/// byte, so that a size beyond the input is rejected before memory is allocated
/// for it.
/// \param Bytes one packed value.
/// \param Reference whether strings stay in Bytes instead of being copied.
/// \returns the value; it refers to Bytes if Reference is set.
/// \throws msgpack::unpack_error if Bytes is malformed.
inline msgpack::object_handle unpackBounded(std::string_view Bytes,
                                            bool Reference = false) {
  const std::size_t Most = Bytes.size();
  const msgpack::unpack_limit Limits(Most, Most, Most, Most, Most,
                                     MaxUnpackDepth);
  const auto ReferenceInput = [](msgpack::type::object_type, std::size_t,
                                 void *UserData) {
    return *static_cast<bool *>(UserData);
  };
  return msgpack::unpack(Bytes.data(), Bytes.size(), ReferenceInput, &Reference,
                         Limits);
}

/// Decodes a MessagePack value. Strings are copied once, directly from Bytes,
/// without an intermediate buffer.
/// \param Bytes one packed value.
/// \returns the decoded value.
/// \throws msgpack::unpack_error if Bytes is malformed, msgpack::type_error if
/// it has another type.
template <typename Value> Value unpackInPlace(std::string_view Bytes) {
  return unpackBounded(Bytes, true).get().template as<Value>();
}

} // namespace lentilhoist
