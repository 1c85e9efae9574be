#pragma once

#include "http/bounded_connection_pool.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lentilhoist {

/// The platform did not answer, or not as its protocol says.
class platform_error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// An object of the platform.
struct stored_object {
  std::string Value;
  std::string Version; ///< Opaque; to be given back with an update.
};

/// Result of a conditional update.
enum class update_status { Done, Conflict };

/// What the platform's lagging list says of one instance.
struct listed_instance {
  std::string Id;
  std::string Domain;
  std::string Region;
  std::string Address;
  int LinkPort = 0;
  bool Leaving = false;
};

/// Client of the platform's object API (HTTP with entity tags, RFC 9110
/// section 13) and of its list of instances. Blocking; safe to share between
/// threads.
class object_store {
public:
  /// \param Target the platform.
  /// \param Timeouts limits of each wait; their sum is that of a call.
  object_store(endpoint Target, http_timeouts Timeouts);

  /// Creates an object if it is absent.
  /// \param Key the object's key.
  /// \param Value its bytes.
  /// \returns whether it was created; Conflict if it exists.
  /// \throws platform_error if the outcome is not known.
  update_status create(const std::string &Key, const std::string &Value);

  /// Replaces an object that has not changed.
  /// \param Key the object's key.
  /// \param Value its new bytes.
  /// \param Version the version that must be current.
  /// \returns whether it was replaced.
  /// \throws platform_error if the outcome is not known.
  update_status update(const std::string &Key, const std::string &Value,
                       const std::string &Version);

  /// \param Key the object's key.
  /// \returns the object, or nothing if it is absent.
  /// \throws platform_error if the platform does not answer.
  std::optional<stored_object> read(const std::string &Key);

  /// Deletes an object; it need not exist.
  /// \param Key the object's key.
  /// \throws platform_error if the platform does not answer.
  void remove(const std::string &Key);

  /// \param Prefix the prefix.
  /// \param After only keys that sort after it; empty for all.
  /// \returns all keys with the prefix, in order.
  /// \throws platform_error if the platform does not answer.
  std::vector<std::string> listKeys(const std::string &Prefix,
                                    const std::string &After = "");

  /// \returns the platform's list of instances.
  /// \throws platform_error if the platform does not answer.
  std::vector<listed_instance> listInstances();

private:
  /// \throws platform_error if there is no whole response.
  call_result call(http_request_head Head, const std::string &Body = {});
  call_result get(const std::string &Path);
  update_status put(const std::string &Key, const std::string &Value,
                    http_field Condition);

  endpoint Target;
  call_limits Limits;
  bounded_connection_pool Connections;
};

} // namespace lentilhoist
