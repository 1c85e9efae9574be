#pragma once

#include "core/instant.h"

#include <map>
#include <string>
#include <vector>

namespace lentilhoist {

/// Relays that an instance without a path to runners keeps in use. More spread
/// the load of one that has many requests; each is checked all the time.
inline constexpr std::size_t RelaysInUse = 3;
/// Instances that are asked at once whether they can relay.
inline constexpr std::size_t MaxRelayChecks = 4;
/// Time between two checks of a relay in use.
inline constexpr milliseconds RelayCheckInterval{500};
/// How long an instance stays known that no replica lists any more. A replica
/// that has just started lists only those that have reached it.
inline constexpr milliseconds RelayListTime{10'000};
/// How long a relay that could not be used is left alone.
inline constexpr milliseconds RelayBackoff{1'000};

/// Result of a check of a relay, or of a connection through it.
enum class relay_result {
  Works,
  Refused, ///< The relay says that it can't be used.
  Silent,  ///< It did not answer in time, or its connection broke.
};

/// Silent results in a row after which a relay in use is given up. One may be a
/// lost packet, which comes again only after a second.
inline constexpr int MaxSilentResults = 2;

/// What this instance knows about another one as a relay to runners.
struct relay_view {
  int SilentResults = 0; ///< Since the last other one.
  bool Usable = false;   ///< The last check or connection through it worked.
  bool Checking = false; ///< A check is under way.
  instant CheckedAt{};   ///< Start of the last check; zero if there was none.
  instant ListedAt{};    ///< When a replica last listed it.
  instant FailedUntil{}; ///< End of the backoff after a failure.
  int Requests = 0;      ///< Requests of this instance through it.
};

/// The other instances by the address at which they relay.
struct relay_directory {
  std::map<std::string, relay_view> Relays;
};

/// Adds the instances that a replica lists, and forgets those that none has
/// listed for RelayListTime.
/// \param Directory the directory.
/// \param Addresses addresses of the relays.
/// \param Own address of this instance's relay, which is left out.
/// \param Now the current time.
void listRelays(relay_directory &Directory,
                const std::vector<std::string> &Addresses,
                const std::string &Own, instant Now);

/// Selects a relay for a request.
/// \param Directory the directory.
/// \param Now the current time.
/// \returns the address of the usable relay with the fewest requests of this
/// instance; empty if there is none.
std::string chooseRelay(const relay_directory &Directory, instant Now);

/// Whether a usable relay may be found soon.
/// \param Directory the directory.
/// \param Now the current time.
/// \returns whether a check is under way or due.
bool mayFindRelay(const relay_directory &Directory, instant Now);

/// Selects the relays to check: those in use, and others while there are fewer
/// than RelaysInUse. Which others come first depends on the instance, so that
/// the load of many instances spreads over all that can relay.
/// \param Directory the directory; the selected relays are marked.
/// \param Own address of this instance's relay.
/// \param Now the current time.
/// \returns addresses to check.
std::vector<std::string> startRelayChecks(relay_directory &Directory,
                                          const std::string &Own, instant Now);

/// Records the result of a check, or that a connection through a relay failed.
/// \param Directory the directory.
/// \param Address address of the relay.
/// \param Result what was found.
/// \param Now the current time.
/// \returns whether the relay has become usable or has ceased to be.
bool recordRelay(relay_directory &Directory, const std::string &Address,
                 relay_result Result, instant Now);

/// Forgets which relays are usable: the path is open again.
/// \param Directory the directory.
void forgetRelays(relay_directory &Directory);

} // namespace lentilhoist
