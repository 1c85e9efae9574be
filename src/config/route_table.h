#pragma once

#include "config/key_table.h"
#include "config/route.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace lentilhoist {

/// A version of the configuration, indexed for lookups. Immutable, so that
/// requests in progress keep the version they started with.
class route_table {
public:
  /// \param Config the configuration to index.
  explicit route_table(configuration Config);
  route_table(const route_table &) = delete;
  route_table &operator=(const route_table &) = delete;

  /// \param Host the request host, with or without a port; case-insensitive.
  /// \param Path the path without a query.
  /// \returns the route with the longest matching path prefix; null if none.
  const route *find(std::string_view Host, std::string_view Path) const;

  /// \param Name a service's name.
  /// \returns the service, or null.
  const service *findService(std::string_view Name) const;

  const configuration &config() const { return Config; }
  const key_table &keys() const { return Keys; }

private:
  configuration Config;
  /// Routes by lower-case host, longest prefix first.
  std::map<std::string, std::vector<const route *>, std::less<>> ByHost;
  std::map<std::string, const service *, std::less<>> ByService;
  key_table Keys;
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// Selects a target of a route by weight.
/// \param Route the route.
/// \param Hash hash of the request; equal hashes select the same target.
/// \returns the service's name; empty if no target has a weight.
std::string_view chooseTarget(const route &Route, std::uint64_t Hash);

/// \param Route the route of a request.
/// \param Workspace the caller's workspace, or null.
/// \returns the priority of the request: that of the workspace, if it has one.
int priorityOf(const route &Route, const workspace *Workspace);

/// The configuration version of a process only increases.
/// \param Current the active table, or null.
/// \param Version version of the candidate.
/// \returns whether the candidate replaces the active table.
bool replacesConfig(const route_table_ptr &Current, std::int64_t Version);

} // namespace lentilhoist
