#include "call/caller_request.h"

#include "core/unpack.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace lentilhoist {

namespace {

using request_decoder = owner_request (*)(const msgpack::object &);

template <std::size_t Index>
owner_request decodeAlternative(const msgpack::object &Object) {
  return Object.as<std::variant_alternative_t<Index, owner_request>>();
}

template <std::size_t... Indexes>
constexpr auto makeDecoders(std::index_sequence<Indexes...>) {
  return std::array<request_decoder, sizeof...(Indexes)>{
      &decodeAlternative<Indexes>...};
}

constexpr auto Decoders = makeDecoders(
    std::make_index_sequence<std::variant_size_v<owner_request>>());

/// Visitor that returns the program of a request.
struct program_finder {
  program_id operator()(const result_request &Request) const {
    return Request.Call.Program;
  }
  template <typename Request>
  program_id operator()(const Request &Other) const {
    return Other.Program;
  }
};

} // namespace

program_id programOf(const owner_request &Request) {
  return std::visit(program_finder(), Request);
}

std::string encodeRequest(const owner_request &Request) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack_array(2);
  Packer.pack(static_cast<std::uint32_t>(Request.index()));
  std::visit([&](const auto &Value) { Packer.pack(Value); }, Request);
  return {Buffer.data(), Buffer.size()};
}

owner_request decodeRequest(std::string_view Bytes) {
  try {
    const auto Handle = unpackBounded(Bytes);
    const auto Pair = Handle.get().as<std::vector<msgpack::object>>();
    if (Pair.size() != 2 || Pair[0].as<std::uint32_t>() >= Decoders.size())
      throw std::invalid_argument("unknown request type");
    return Decoders[Pair[0].as<std::uint32_t>()](Pair[1]);
  } catch (const msgpack::unpack_error &) {
    throw std::invalid_argument("request is not valid MessagePack");
  } catch (const msgpack::type_error &) {
    throw std::invalid_argument("request has a field of the wrong type");
  }
}

} // namespace lentilhoist
