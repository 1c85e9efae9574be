#pragma once

#include "core/instant.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace lentilhoist {

/// Status of an instance. Later enumerators take precedence over earlier ones
/// at equal incarnations.
enum class member_status { Alive, Suspect, Dead };

/// Address and location of an instance; constant for its lifetime.
struct member_identity {
  std::string Id;
  std::string Address; ///< IP address of the peer link, for TCP and UDP.
  std::uint16_t Port = 0;
  std::string Domain; ///< Failure domain.
  std::string Region;

  MSGPACK_DEFINE(Id, Address, Port, Domain, Region)
};

/// A status update about one instance. Updates about the same instance are
/// ordered by incarnation, then by status.
struct member_update {
  member_identity Identity;
  std::uint64_t Incarnation = 0;
  member_status Status = member_status::Alive;
  bool Leaving = false; ///< Set by the instance itself before it shuts down.

  MSGPACK_DEFINE(Identity, Incarnation, Status, Leaving)
};

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::member_status)
