#pragma once

#include "config/route.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace lentilhoist {

/// A version of the configuration, indexed for lookups. Immutable, so that
/// requests under way keep the version they began with.
class route_table {
public:
  /// \param Config the configuration.
  explicit route_table(configuration Config);

  /// \param Host the host that the caller names, with or without a port.
  /// \param Path the path without a query.
  /// \returns the route with the longest prefix of the path; null if none.
  const route *find(std::string_view Host, std::string_view Path) const;

  /// \param Name a service's name.
  /// \returns the service, or null.
  const service *findService(std::string_view Name) const;

  const configuration &config() const { return Config; }

private:
  configuration Config;
  /// Routes of each host in lower case, longest prefix first.
  std::map<std::string, std::vector<const route *>, std::less<>> ByHost;
  std::map<std::string, const service *, std::less<>> ByService;
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// Chooses among the targets of a route by weight.
/// \param Route the route.
/// \param Hash spreads requests; equal hashes choose equal targets.
/// \returns the service's name; empty if no target has a weight.
std::string_view chooseTarget(const route &Route, std::uint64_t Hash);

/// Versions only rise in a process.
/// \param Current the table in force, or null.
/// \param Version version of another.
/// \returns whether the other one replaces it.
bool replacesConfig(const route_table_ptr &Current, std::int64_t Version);

} // namespace lentilhoist
