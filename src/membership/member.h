#pragma once

#include "core/instant.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace lentilhoist {

/// What the group believes of one instance.
enum class member_status { Alive, Suspect, Dead };

/// Addresses and place of an instance; constant for its lifetime.
struct member_identity {
  std::string Id;
  std::string Address; ///< IP number of the link, TCP and UDP.
  std::uint16_t Port = 0;
  std::string Domain; ///< Failure domain.
  std::string Region;

  MSGPACK_DEFINE(Id, Address, Port, Domain, Region)
};

/// One piece of news about an instance. The pair of incarnation and status
/// orders the news of one instance.
struct member_update {
  member_identity Identity;
  std::uint64_t Incarnation = 0;
  member_status Status = member_status::Alive;
  bool Leaving = false; ///< Set by the instance itself before it goes.

  MSGPACK_DEFINE(Identity, Incarnation, Status, Leaving)
};

} // namespace lentilhoist

MSGPACK_ADD_ENUM(lentilhoist::member_status)
